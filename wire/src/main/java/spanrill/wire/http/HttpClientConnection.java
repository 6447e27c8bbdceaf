package spanrill.wire.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Client side of one connection, which carries one request at a time. The owner enforces timeouts. Used on the
 * connection's event loop only.
 */
public final class HttpClientConnection extends ChannelInboundHandlerAdapter implements HttpParser.Sink {
    /** How an exchange failed. */
    public enum Failure {
        /** The connection failed with an I/O error. */
        RESET,
        /** The peer closed the connection before the response was complete. */
        CLOSED,
        /** The response was malformed. */
        MALFORMED
    }

    /** Receives the response to one request. */
    public interface Listener {
        /** Handles the head of the response. */
        void onHead(ResponseHead head);

        /** Handles part of the body; the buffer is valid during the call only. */
        default void onData(ByteBuf part) {}

        /** Handles the end of the response. */
        void onEnd();

        /** Handles a failure; no other method is called afterwards. */
        void onFailure(Failure failure, String reason);
    }

    private final HttpParser parser;
    private Channel channel;
    private Listener listener;
    private boolean reusable = true;
    private Consumer<HttpClientConnection> onClosed = connection -> {};
    private Runnable onUnsolicitedData = () -> {};

    private HttpClientConnection(HttpLimits limits) {
        parser = new HttpParser(HttpParser.Role.RESPONSE, limits, this);
    }

    /** Opens a connection and calls either {@code opened} or {@code failed} on the event loop. */
    public static void open(
            EventLoop loop,
            InetSocketAddress address,
            int connectMs,
            HttpLimits limits,
            Consumer<HttpClientConnection> opened,
            Consumer<Throwable> failed) {
        HttpClientConnection connection = new HttpClientConnection(limits);
        ChannelFuture future = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(16 * 1024, 64 * 1024))
                .handler(connection)
                .connect(address);
        future.addListener(result -> {
            if (result.isSuccess()) {
                opened.accept(connection);
            } else {
                failed.accept(result.cause());
            }
        });
    }

    /** Sets an action that runs once when the connection ends. */
    public void onClosed(Consumer<HttpClientConnection> action) {
        onClosed = action;
    }

    /** Sets an action that runs when data arrives that no request asked for; the connection is then closed. */
    public void onUnsolicitedData(Runnable action) {
        onUnsolicitedData = action;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Returns whether the connection can carry a new request. */
    public boolean isAvailable() {
        return listener == null && reusable && channel.isActive();
    }

    /** Returns whether the connection is open. */
    public boolean isActive() {
        return channel.isActive();
    }

    /**
     * Sends a request.
     *
     * @return false when the connection is not available; nothing was written then, so the peer cannot have received
     *     the request, and the listener is not called
     */
    public boolean send(String method, String target, Headers headers, byte[] content, Listener responseListener) {
        if (!isAvailable()) {
            return false;
        }
        listener = responseListener;
        parser.expectResponseToHead(method.equals("HEAD"));
        if (content.length > 0 || method.equals("POST") || method.equals("PUT")) {
            headers.add("content-length", Integer.toString(content.length));
        }
        ByteBuf out = channel.alloc().buffer(256 + content.length);
        HttpWriter.writeRequestHead(out, method, target, headers);
        out.writeBytes(content);
        channel.writeAndFlush(out);
        return true;
    }

    /** Enables or disables reading; while it is disabled, received data stays in the socket's buffers. */
    public void setAutoRead(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** Limits what is read in one iteration of the event loop, so that a burst does not delay other connections. */
    public void limitReadsPerIteration(int bytes) {
        channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(bytes).maxMessagesPerRead(1));
    }

    /** Closes the connection without calling the listener of a pending exchange. */
    public void abort() {
        listener = null;
        reusable = false;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            while (in.isReadable()) {
                if (listener == null) {
                    // Unsolicited data: a later response could be attributed to the wrong request.
                    if (reusable) {
                        onUnsolicitedData.run();
                    }
                    reusable = false;
                    channel.close();
                    return;
                }
                parser.feed(in);
            }
        } catch (HttpProtocolException e) {
            fail(Failure.MALFORMED, e.getMessage());
            channel.close();
        } finally {
            in.release();
        }
    }

    @Override
    public void onResponseHead(ResponseHead head) {
        reusable &= head.keepAlive();
        listener.onHead(head);
    }

    @Override
    public void onBody(ByteBuf part) {
        if (listener != null) {
            listener.onData(part);
        }
    }

    @Override
    public void onEnd() {
        Listener completed = listener;
        listener = null;
        channel.config().setAutoRead(true);
        if (!reusable) {
            channel.close();
        }
        if (completed != null) {
            completed.onEnd();
        }
    }

    private void fail(Failure failure, String reason) {
        Listener failed = listener;
        listener = null;
        reusable = false;
        if (failed != null) {
            failed.onFailure(failure, reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        try {
            parser.endOfInput();
        } catch (HttpProtocolException e) {
            // A truncated response: reported below like any closed connection.
            reusable = false;
        }
        fail(Failure.CLOSED, "the peer closed the connection");
        onClosed.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(Failure.RESET, String.valueOf(cause.getMessage()));
        ctx.close();
    }
}
