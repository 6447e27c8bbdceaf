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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.function.Supplier;

/** Opens connections and listeners on loopback addresses; all run on the event loop of the peers. */
final class Sockets {
    private static final String LOOPBACK = "127.0.0.1";
    /**
     * Last octet of the first node's loopback address. Nodes listen on addresses of their own, because outgoing
     * connections from 127.0.0.1 could take their ports.
     */
    private static final int FIRST_NODE_HOST = 10;

    private static final int BACKLOG = 256;
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private Sockets() {}

    /** Listens on a port, 0 for one that the system chooses, and waits for the outcome. Must not run on the loop. */
    static Channel listen(EventLoop loop, int port, Supplier<ChannelHandler> handler) throws IOException {
        ChannelFuture bound = bind(loop, port, handler).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on port " + port + ": " + bound.cause().getMessage());
        }
        return bound.channel();
    }

    /** Listens on a port, 0 for one that the system chooses, without waiting for the outcome. */
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

    static ChannelFuture connect(EventLoop loop, InetSocketAddress address, ChannelHandler handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(handler)
                .connect(address);
    }

    static int localPort(Channel listening) {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Returns an address for a node with a port that is free at the time of the call. */
    static InetSocketAddress freeAddress(int node) throws IOException {
        String host = "127.0.0." + (FIRST_NODE_HOST + node);
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** Closes a connection with a TCP reset. */
    static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
