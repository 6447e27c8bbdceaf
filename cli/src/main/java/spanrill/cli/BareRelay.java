package spanrill.cli;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/**
 * Passes bytes on between two sockets and looks at none of them: what a relay costs that decides nothing. For
 * measuring beside a front.
 */
final class BareRelay implements AutoCloseable {
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(64 * 1024, 256 * 1024);
    private final Channel server;

    /** Passes on to a port, on loops of its own or shared ones. */
    BareRelay(EventLoopGroup loops, int toPort) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel viewer) {
                        connect(viewer, toPort);
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
    }

    private static void connect(SocketChannel viewer, int toPort) {
        // Both sides on one loop, as in a front.
        new Bootstrap()
                .group(viewer.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                .handler(new Side(viewer))
                .connect(new InetSocketAddress("127.0.0.1", toPort))
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        viewer.close();
                        return;
                    }
                    Channel box = ((io.netty.channel.ChannelFuture) done).channel();
                    viewer.pipeline().addLast(new Side(box));
                    viewer.config().setAutoRead(true);
                    box.config().setAutoRead(true);
                });
    }

    int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
    }

    /** Hands what one side reads to the other, and reads no more than the other takes. */
    private static final class Side extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Side(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            other.write(message);
            if (!other.isWritable()) {
                ctx.channel().config().setAutoRead(false);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            other.flush();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            // This side's own buffer drained: the other side may read on.
            other.config().setAutoRead(ctx.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
