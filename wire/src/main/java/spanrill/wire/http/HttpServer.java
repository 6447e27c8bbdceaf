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
    private static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(64 * 1024, 256 * 1024);

    private HttpServer() {}

    /**
     * Listens on an address and serves the connections on the event loops of the group.
     *
     * @param admit decides on each new connection; false closes it
     * @param route handles each request
     * @param refused is notified of each malformed request; the response to the peer has already been sent
     */
    public static ChannelFuture bind(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            HttpServerHandler.ConnectionLimits connectionLimits,
            Predicate<Channel> admit,
            Consumer<Exchange> route,
            Consumer<HttpProtocolException> refused) {
        return TcpListener.bind(group, address, BACKLOG, WATER_MARKS, channel -> {
            if (admit.test(channel)) {
                channel.pipeline().addLast(new HttpServerHandler(limits, connectionLimits, route, refused));
            } else {
                channel.close();
            }
        });
    }
}
