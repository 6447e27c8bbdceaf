package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Server end of one connection. Requests are handed on one at a time and answered in order (RFC 9112 section
 * 9.3.2); those pipelined behind wait unparsed, up to a bound past which the connection is not read. A peer
 * that takes longer than its time over a head or body is answered 408 and let go.
 */
public final class HttpServerHandler extends ChannelInboundHandlerAdapter implements HttpParser.Sink {
    /**
     * Times of a connection.
     *
     * @param messageMs a request must be complete so long after its first byte, or after the connection began
     * @param idleMs a connection may rest so long between requests
     * @param waitingBytes pipelined bytes kept while an answer is under way
     */
    public record ConnectionLimits(long messageMs, long idleMs, int waitingBytes) {}

    private final Consumer<Exchange> route;
    private final Consumer<HttpProtocolException> refused;
    private final ConnectionLimits times;
    private final HttpParser parser;
    private ByteBuf waiting = Unpooled.EMPTY_BUFFER;
    private ByteArrayOutputStream body;
    private RequestHead head;
    private Exchange current;
    private Channel channel;
    private ScheduledFuture<?> timeout;
    private boolean midMessage;
    private boolean closeAfter;
    private boolean working;
    private boolean inputClosed;

    /** Hands each request to {@code route}; {@code refused} is told of bytes that are none. */
    public HttpServerHandler(
            HttpLimits limits,
            ConnectionLimits times,
            Consumer<Exchange> route,
            Consumer<HttpProtocolException> refused) {
        this.route = route;
        this.refused = refused;
        this.times = times;
        parser = new HttpParser(HttpParser.Role.REQUEST, limits, this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        arm(times.messageMs());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (closeAfter) {
            in.release();
            return;
        }
        waiting = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), waiting, in);
        work();
    }

    private void work() {
        if (working) {
            return;
        }
        working = true;
        try {
            while (current == null && waiting.isReadable() && !closeAfter) {
                if (!midMessage) {
                    midMessage = true;
                    arm(times.messageMs());
                }
                parser.feed(waiting);
            }
        } catch (HttpProtocolException fault) {
            refuse(fault.status(), fault.getMessage());
            refused.accept(fault);
        } finally {
            working = false;
        }
        if (!waiting.isReadable()) {
            waiting.release();
            waiting = Unpooled.EMPTY_BUFFER;
        }
        channel.config().setAutoRead(waiting.readableBytes() < times.waitingBytes());
    }

    private void refuse(int status, String reason) {
        closeAfter = true;
        disarm();
        byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        ByteBuf out = channel.alloc().buffer(256);
        HttpWriter.writeResponseHead(
                out,
                status,
                Headers.of(
                        "content-type",
                        "text/plain",
                        "content-length",
                        Integer.toString(text.length),
                        "connection",
                        "close"));
        out.writeBytes(text);
        channel.write(out);
        Exchange.closeWhenFlushed(channel);
    }

    @Override
    public void onRequestHead(RequestHead request) throws HttpProtocolException {
        head = request;
        body = null;
        String expect = request.headers().get("expect");
        if (expect != null) {
            if (!expect.equalsIgnoreCase("100-continue")) {
                throw new HttpProtocolException(417, "an expectation other than 100-continue");
            }
            if (request.minor() == 1) {
                ByteBuf out = channel.alloc().buffer(32);
                out.writeCharSequence("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII);
                channel.writeAndFlush(out);
            }
        }
    }

    @Override
    public void onBody(ByteBuf part) throws HttpProtocolException {
        if (body == null) {
            body = new ByteArrayOutputStream(Math.min(1024, part.readableBytes()));
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void onEnd() {
        disarm();
        midMessage = false;
        current = new Exchange(channel, this, head, body == null ? new byte[0] : body.toByteArray());
        body = null;
        route.accept(current);
    }

    void answered(Exchange exchange) {
        if (exchange != current) {
            return;
        }
        current = null;
        if (closing(exchange.head())) {
            closeAfter = true;
            Exchange.closeWhenFlushed(channel);
            return;
        }
        if (inputClosed && !waiting.isReadable()) {
            Exchange.closeWhenFlushed(channel);
            return;
        }
        arm(times.idleMs());
        work();
    }

    void closeAfter() {
        closeAfter = true;
    }

    boolean closing(RequestHead request) {
        return closeAfter || !request.keepAlive();
    }

    private void arm(long ms) {
        disarm();
        timeout = channel.eventLoop().schedule(this::late, ms, TimeUnit.MILLISECONDS);
    }

    private void disarm() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void late() {
        if (current != null || closeAfter) {
            return;
        }
        if (midMessage) {
            refuse(408, "the request took too long to come");
        } else {
            closeAfter = true;
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (current != null) {
            current.writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        disarm();
        inputClosed = true;
        waiting.release();
        waiting = Unpooled.EMPTY_BUFFER;
        Exchange lost = current;
        current = null;
        if (lost != null) {
            lost.lost();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            // A fault of this program must not take the front down; the peer sees its connection end.
            Thread.currentThread().getUncaughtExceptionHandler().uncaughtException(Thread.currentThread(), cause);
        }
        ctx.close();
    }
}
