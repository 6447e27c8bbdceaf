package spanrill.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.function.Supplier;

/** Connections and listeners on loopback, all on one loop. */
final class Sockets {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int BACKLOG = 256;
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private Sockets() {}

    /** Listens; port 0: one from the system. Must not be called from the loop. */
    static Channel listen(EventLoop loop, int port, Supplier<ChannelHandler> handler) throws IOException {
        ChannelFuture bound = bind(loop, port, handler).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "can't listen on port " + port + ": " + bound.cause().getMessage());
        }
        return bound.channel();
    }

    /** Listens, without waiting for it. */
    static ChannelFuture bind(EventLoop loop, int port, Supplier<ChannelHandler> handler) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(handler.get());
                    }
                })
                .bind(new InetSocketAddress(LOOPBACK, port));
    }

    static ChannelFuture connect(EventLoop loop, int port, ChannelHandler handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(handler)
                .connect(new InetSocketAddress(LOOPBACK, port));
    }

    static int port(Channel listening) {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** A port that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Ends a connection with a reset. */
    static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
