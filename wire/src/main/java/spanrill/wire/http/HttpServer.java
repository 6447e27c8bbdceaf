package spanrill.wire.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Predicate;
import spanrill.wire.TcpListener;

/** Listens for HTTP/1.1 connections. */
public final class HttpServer {
    private static final int BACKLOG = 4096;
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(64 * 1024, 256 * 1024);

    private HttpServer() {}

    /**
     * Listens; the connections are served on the group's loops.
     *
     * @param admit told of each new connection; false closes it
     * @param route takes each request
     * @param refused told of bytes that are no request; their sender is answered already
     */
    public static ChannelFuture bind(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            HttpServerHandler.ConnectionLimits times,
            Predicate<Channel> admit,
            Consumer<Exchange> route,
            Consumer<HttpProtocolException> refused) {
        return TcpListener.bind(group, address, BACKLOG, MARKS, channel -> {
            if (admit.test(channel)) {
                channel.pipeline().addLast(new HttpServerHandler(limits, times, route, refused));
            } else {
                channel.close();
            }
        });
    }
}
