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

/** Opens listening TCP sockets. */
public final class TcpListener {
    private TcpListener() {}

    /**
     * Listens on an address and serves the connections on the event loops of the group.
     *
     * @param backlog maximum number of connections that the system queues before they are accepted
     * @param waterMarks a connection becomes unwritable when its unsent bytes exceed the high water mark, and writable
     *     again when they fall below the low one
     * @param initializer initializes or closes each accepted connection
     */
    public static ChannelFuture bind(
            EventLoopGroup group,
            InetSocketAddress address,
            int backlog,
            WriteBufferWaterMark waterMarks,
            Consumer<SocketChannel> initializer) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMarks)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initializer.accept(channel);
                    }
                })
                .bind(address);
    }
}
