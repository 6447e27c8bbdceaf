package spanrill.wire.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Listens for HTTP/1.1 connections. */
public final class HttpServer {
    private static final int BACKLOG = 4096;
    // A connection that holds more unsent bytes than the upper mark takes no more until it is under the
    // lower.
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(64 * 1024, 256 * 1024);

    private HttpServer() { }

    /**
     * Listens; the connections are served on the group's loops.
     *
     * @param admit told of each new connection; false closes it
     * @param route takes each request
     * @param refused told of bytes that are no request; their sender is answered already
     */
    public static ChannelFuture bind(EventLoopGroup group, InetSocketAddress address, HttpLimits limits,
            HttpServerHandler.Times times, Predicate<Channel> admit, Consumer<Exchange> route,
            Consumer<HttpFault> refused) {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (admit.test(channel)) {
                            channel.pipeline().addLast(new HttpServerHandler(limits, times, route,
                                    refused));
                        } else {
                            channel.close();
                        }
                    }
                }).bind(address);
    }
}
