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
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
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
    /** A backlog of 1 holds two connections; the others keep it full while the kernel retransmits their SYNs. */
    private static final int FULL_BACKLOG_CONNECTIONS = 4;

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

    /**
     * Occupies a port so that connections to it are not established: the accept queue is full, so the kernel drops
     * further SYNs. Closing the result ends this.
     *
     * @throws IOException when the port is still in use
     */
    static Closeable listenWithFullBacklog(int port) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        List<Closeable> opened = new ArrayList<>(List.of(listener));
        Closeable all = () -> {
            for (Closeable socket : opened) {
                socket.close();
            }
        };
        try {
            InetSocketAddress address = new InetSocketAddress(LOOPBACK, port);
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(address, 1);
            for (int i = 0; i < FULL_BACKLOG_CONNECTIONS; i++) {
                java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                opened.add(filler);
                filler.configureBlocking(false);
                filler.connect(address);
            }
            return all;
        } catch (IOException e) {
            all.close();
            throw e;
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
