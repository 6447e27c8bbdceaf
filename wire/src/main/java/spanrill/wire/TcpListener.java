package spanrill.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Listens on TCP. */
public final class TcpListener {
    private TcpListener() {}

    /**
     * Listens; the connections are served on the group's loops.
     *
     * @param backlog connections that the system may hold before they are accepted
     * @param marks a connection that holds more unsent bytes than the upper mark takes no more until it is
     *     under the lower
     * @param accept sets each new connection up, or closes it
     */
    public static ChannelFuture bind(
            EventLoopGroup group,
            InetSocketAddress address,
            int backlog,
            WriteBufferWaterMark marks,
            Consumer<SocketChannel> accept) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, marks)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept.accept(channel);
                    }
                })
                .bind(address);
    }
}
