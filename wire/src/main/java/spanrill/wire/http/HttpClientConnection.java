package spanrill.wire.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Client end of one connection: one request at a time. Times are its owner's business. On the connection's
 * event loop only.
 */
public final class HttpClientConnection extends ChannelInboundHandlerAdapter implements HttpParser.Sink {
    /** How an exchange was lost. */
    public enum Failure {
        RESET,
        CLOSED,
        MALFORMED
    }

    /** Takes the answer to one request. */
    public interface Listener {
        /** The answer's head. */
        void onHead(ResponseHead head);

        /** Part of its body; lent for the call. */
        default void onData(ByteBuf part) {}

        /** It is complete. */
        void onEnd();

        /** It was lost; nothing more comes. */
        void onFailure(Failure loss, String reason);
    }

    private final HttpParser parser;
    private Channel channel;
    private Listener listener;
    private boolean reusable = true;
    private Consumer<HttpClientConnection> onClosed = c -> {};
    private Runnable onUnasked = () -> {};

    private HttpClientConnection(HttpLimits limits) {
        parser = new HttpParser(HttpParser.Role.RESPONSE, limits, this);
    }

    /** Opens a connection; one of the two is called, on the loop. */
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
        future.addListener(f -> {
            if (f.isSuccess()) {
                opened.accept(connection);
            } else {
                failed.accept(f.cause());
            }
        });
    }

    /** Called once when the connection ends. */
    public void onClosed(Consumer<HttpClientConnection> action) {
        onClosed = action;
    }

    /** Called when bytes come that no request asked for; the connection ends then. */
    public void onUnsolicitedData(Runnable action) {
        onUnasked = action;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** True when it may take a request. */
    public boolean isAvailable() {
        return listener == null && reusable && channel.isActive();
    }

    /** True while the connection stands. */
    public boolean isActive() {
        return channel.isActive();
    }

    /**
     * Sends a request.
     *
     * @return false when the connection was found ended before a byte was written, which proves that the peer
     *     never saw it; the listener is not called then
     */
    public boolean send(String method, String target, Headers headers, byte[] content, Listener answer) {
        if (!isAvailable()) {
            return false;
        }
        listener = answer;
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

    /** Reads on or holds back: what the peer sends waits in the socket's buffers meanwhile. */
    public void setAutoRead(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** Gives up whatever is under way, without a word to its listener. */
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
                    // Bytes that nobody asked for: a later answer could be taken for another's.
                    if (reusable) {
                        onUnasked.run();
                    }
                    reusable = false;
                    channel.close();
                    return;
                }
                parser.feed(in);
            }
        } catch (HttpProtocolException fault) {
            lose(Failure.MALFORMED, fault.getMessage());
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
        Listener done = listener;
        listener = null;
        channel.config().setAutoRead(true);
        if (!reusable) {
            channel.close();
        }
        if (done != null) {
            done.onEnd();
        }
    }

    private void lose(Failure loss, String reason) {
        Listener lost = listener;
        listener = null;
        reusable = false;
        if (lost != null) {
            lost.onFailure(loss, reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        try {
            parser.endOfInput();
        } catch (HttpProtocolException fault) {
            // Cut short: told below, as any loss.
            reusable = false;
        }
        lose(Failure.CLOSED, "the peer closed the connection");
        onClosed.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        lose(Failure.RESET, String.valueOf(cause.getMessage()));
        ctx.close();
    }
}
