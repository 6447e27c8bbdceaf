package spanrill.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.HttpLimits;
import spanrill.wire.http.HttpServer;
import spanrill.wire.http.HttpServerHandler;

/** Listening on loopback. */
public final class LoopbackServer {
    private static final HttpServerHandler.ConnectionLimits TIMES =
            new HttpServerHandler.ConnectionLimits(10_000, 120_000, 64 * 1024);

    private LoopbackServer() {}

    /** A server on loopback that hands its exchanges on; all its connections are on one loop. */
    public static Channel listen(EventLoop loop, int port, Consumer<Channel> opened, Consumer<Exchange> route)
            throws IOException {
        ChannelFuture future = bind(loop, port, opened, route).awaitUninterruptibly();
        if (!future.isSuccess()) {
            throw new IOException("can't listen on loopback port " + port + ": "
                    + future.cause().getMessage());
        }
        return future.channel();
    }

    /** The same without waiting, for use on the loop. */
    public static ChannelFuture bind(EventLoop loop, int port, Consumer<Channel> opened, Consumer<Exchange> route) {
        return HttpServer.bind(
                loop,
                new InetSocketAddress("127.0.0.1", port),
                HttpLimits.SERVER,
                TIMES,
                channel -> {
                    opened.accept(channel);
                    return true;
                },
                route,
                fault -> {});
    }

    /** Port of a listening channel. */
    public static int port(Channel server) {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }
}
