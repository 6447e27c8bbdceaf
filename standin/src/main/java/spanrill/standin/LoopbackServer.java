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

/** HTTP/1.1 servers on 127.0.0.1. */
public final class LoopbackServer {
    private static final HttpServerHandler.ConnectionLimits CONNECTION_LIMITS =
            new HttpServerHandler.ConnectionLimits(10_000, 120_000, 64 * 1024);

    private LoopbackServer() {}

    /**
     * Listens and waits until the port is bound. All connections of the server run on the given loop.
     *
     * @param port the port, 0 for one that the system picks
     * @param opened called with each accepted connection
     * @param route called with each request
     */
    public static Channel listen(EventLoop loop, int port, Consumer<Channel> opened, Consumer<Exchange> route)
            throws IOException {
        ChannelFuture future = bind(loop, port, opened, route).awaitUninterruptibly();
        if (!future.isSuccess()) {
            throw new IOException("cannot listen on loopback port " + port + ": "
                    + future.cause().getMessage());
        }
        return future.channel();
    }

    /** Starts to listen without waiting, so that it may be called on the loop; parameters as for {@link #listen}. */
    public static ChannelFuture bind(EventLoop loop, int port, Consumer<Channel> opened, Consumer<Exchange> route) {
        return HttpServer.bind(
                loop,
                new InetSocketAddress("127.0.0.1", port),
                HttpLimits.SERVER,
                CONNECTION_LIMITS,
                channel -> {
                    opened.accept(channel);
                    return true;
                },
                route,
                fault -> {});
    }

    /** Returns the port that a server channel is bound to. */
    public static int port(Channel server) {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }
}
