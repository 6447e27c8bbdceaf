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
 * Server side of one connection. Requests are handled one at a time and answered in order (RFC 9112 section 9.3.2).
 * Pipelined requests wait unparsed; the connection is not read while they exceed a limit. A request that is not
 * complete within its timeout is answered with 408 and the connection is closed.
 */
public final class HttpServerHandler extends ChannelInboundHandlerAdapter implements HttpParser.Sink {
    /**
     * Timeouts and buffer limit of a connection.
     *
     * @param requestTimeoutMs a request must be complete within this time after its first byte, and the first request
     *     must begin within this time after the connection is accepted, in ms
     * @param idleTimeoutMs maximum time between two requests, in ms
     * @param maxPipelinedBytes the connection is not read while this many bytes wait for the current response
     */
    public record ConnectionLimits(long requestTimeoutMs, long idleTimeoutMs, int maxPipelinedBytes) {}

    private final Consumer<Exchange> route;
    private final Consumer<HttpProtocolException> refused;
    private final ConnectionLimits connectionLimits;
    private final HttpParser parser;
    private ByteBuf unparsed = Unpooled.EMPTY_BUFFER;
    private ByteArrayOutputStream body;
    private RequestHead head;
    private Exchange current;
    private Channel channel;
    private ScheduledFuture<?> timer;
    private boolean requestStarted;
    private boolean closeAfterResponse;
    private boolean parsing;
    private boolean inputClosed;

    /** Creates a handler that passes each request to {@code route} and each malformed one to {@code refused}. */
    public HttpServerHandler(
            HttpLimits limits,
            ConnectionLimits connectionLimits,
            Consumer<Exchange> route,
            Consumer<HttpProtocolException> refused) {
        this.route = route;
        this.refused = refused;
        this.connectionLimits = connectionLimits;
        parser = new HttpParser(HttpParser.Role.REQUEST, limits, this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        startTimer(connectionLimits.requestTimeoutMs());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (closeAfterResponse) {
            in.release();
            return;
        }
        unparsed = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), unparsed, in);
        parseRequests();
    }

    private void parseRequests() {
        if (parsing) {
            return;
        }
        parsing = true;
        try {
            while (current == null && unparsed.isReadable() && !closeAfterResponse) {
                if (!requestStarted) {
                    requestStarted = true;
                    startTimer(connectionLimits.requestTimeoutMs());
                }
                parser.feed(unparsed);
            }
        } catch (HttpProtocolException e) {
            respondAndClose(e.status(), e.getMessage());
            refused.accept(e);
        } finally {
            parsing = false;
        }
        if (!unparsed.isReadable()) {
            unparsed.release();
            unparsed = Unpooled.EMPTY_BUFFER;
        }
        channel.config().setAutoRead(unparsed.readableBytes() < connectionLimits.maxPipelinedBytes());
    }

    private void respondAndClose(int status, String reason) {
        closeAfterResponse = true;
        cancelTimer();
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
            if (request.minorVersion() == 1) {
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
        cancelTimer();
        requestStarted = false;
        current = new Exchange(channel, this, head, body == null ? new byte[0] : body.toByteArray());
        body = null;
        route.accept(current);
    }

    void responseEnded(Exchange exchange) {
        if (exchange != current) {
            return;
        }
        current = null;
        if (closesAfter(exchange.head())) {
            closeAfterResponse = true;
            Exchange.closeWhenFlushed(channel);
            return;
        }
        if (inputClosed && !unparsed.isReadable()) {
            Exchange.closeWhenFlushed(channel);
            return;
        }
        startTimer(connectionLimits.idleTimeoutMs());
        parseRequests();
    }

    void closeAfterResponse() {
        closeAfterResponse = true;
    }

    boolean closesAfter(RequestHead request) {
        return closeAfterResponse || !request.keepAlive();
    }

    private void startTimer(long ms) {
        cancelTimer();
        timer = channel.eventLoop().schedule(this::onTimeout, ms, TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void onTimeout() {
        if (current != null || closeAfterResponse) {
            return;
        }
        if (requestStarted) {
            respondAndClose(408, "the request took too long to come");
        } else {
            closeAfterResponse = true;
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
        cancelTimer();
        inputClosed = true;
        unparsed.release();
        unparsed = Unpooled.EMPTY_BUFFER;
        Exchange interrupted = current;
        current = null;
        if (interrupted != null) {
            interrupted.connectionLost();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            // A programming error is reported to the thread's handler and ends only this connection, not the process.
            Thread.currentThread().getUncaughtExceptionHandler().uncaughtException(Thread.currentThread(), cause);
        }
        ctx.close();
    }
}
