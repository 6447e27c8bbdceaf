package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;

/**
 * One request at a server and its response, which is written as a whole or in parts. An exchange is answered once; what
 * is written after its end or after the end of its connection is discarded. Used on the connection's event loop only.
 */
public final class Exchange {
    private final Channel channel;
    private final HttpServerHandler handler;
    private final RequestHead head;
    private final byte[] body;
    private boolean started;
    private boolean ended;
    private boolean chunked;
    private long remaining;
    private Headers extraHeaders;
    private Runnable onWritable;
    private Runnable onClosed;

    Exchange(Channel channel, HttpServerHandler handler, RequestHead head, byte[] body) {
        this.channel = channel;
        this.handler = handler;
        this.head = head;
        this.body = body;
    }

    /** Returns the head of the request. */
    public RequestHead head() {
        return head;
    }

    /** Returns the body of the request. */
    public byte[] body() {
        return body;
    }

    /** Returns the connection on which the request arrived. */
    public Channel channel() {
        return channel;
    }

    /** Sets header fields that are added to the response, whatever its status is. */
    public void setExtraHeaders(Headers headers) {
        extraHeaders = headers;
    }

    /** Sets an action that runs when the connection becomes writable again, see {@link #isWritable}. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    /** Sets an action that runs once if the connection is lost before the response is complete. */
    public void onClosed(Runnable action) {
        onClosed = action;
    }

    /** Sets the action of {@link #onClosed} unless one is set already. */
    public void onClosedIfUnset(Runnable action) {
        if (onClosed == null) {
            onClosed = action;
        }
    }

    /** Returns false when the output buffer is full; callers then wait for {@link #onWritable} before writing more. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Returns whether the response is complete or the connection is lost. */
    public boolean isEnded() {
        return ended || !channel.isActive();
    }

    /** Returns whether the head of the response is written. */
    public boolean isStarted() {
        return started;
    }

    /** Sends a complete response. */
    public void respond(int status, Headers headers, byte[] content) {
        if (isEnded() || started) {
            return;
        }
        start(status, headers, content.length);
        if (content.length > 0) {
            write(Unpooled.wrappedBuffer(content));
        }
        end();
    }

    /** Sends a complete response with a text body in UTF-8. */
    public void respond(int status, Headers headers, String type, String content) {
        respond(status, headers.add("content-type", type), content.getBytes(StandardCharsets.UTF_8));
    }

    /** Starts a response with a body of {@code length} bytes, or of unknown length in chunks when it is -1. */
    public void start(int status, Headers headers, long length) {
        if (isEnded() || started) {
            return;
        }
        started = true;
        for (int i = 0; extraHeaders != null && i < extraHeaders.size(); i++) {
            headers.add(extraHeaders.name(i), extraHeaders.value(i));
        }
        boolean bodyless = status == 204 || status == 304;
        chunked = length < 0 && !bodyless;
        if (chunked && head.minorVersion() == 0) {
            // HTTP/1.0 has no chunked coding: closing the connection marks the end of the body.
            chunked = false;
            handler.closeAfterResponse();
        } else if (chunked) {
            headers.add("transfer-encoding", "chunked");
        } else if (!bodyless) {
            headers.add("content-length", Long.toString(length));
        }
        remaining = length < 0 ? Long.MAX_VALUE : length;
        if (handler.closesAfter(head)) {
            headers.add("connection", "close");
        }
        ByteBuf out = channel.alloc().buffer(256);
        HttpWriter.writeResponseHead(out, status, headers);
        channel.write(out);
    }

    /** Writes part of the body and takes ownership of the buffer. */
    public void write(ByteBuf part) {
        int bytes = part.readableBytes();
        if (isEnded() || bytes == 0 || head.method().equals("HEAD")) {
            part.release();
            remaining -= bytes;
            return;
        }
        if (bytes > remaining) {
            part.release();
            throw new IllegalStateException("the body is longer than the declared Content-Length");
        }
        remaining -= bytes;
        if (chunked) {
            ByteBuf size = channel.alloc().buffer(16);
            HttpWriter.writeChunkSize(size, bytes);
            channel.write(size);
            channel.write(part);
            ByteBuf close = channel.alloc().buffer(2);
            HttpWriter.writeChunkEnd(close);
            channel.writeAndFlush(close);
        } else {
            channel.writeAndFlush(part);
        }
    }

    /** Ends the response. A body shorter than its declared length closes the connection. */
    public void end() {
        if (ended) {
            return;
        }
        if (!channel.isActive()) {
            ended = true;
            return;
        }
        if (chunked && !head.method().equals("HEAD")) {
            ByteBuf last = channel.alloc().buffer(8);
            HttpWriter.writeLastChunk(last);
            channel.write(last);
        } else if (!chunked
                && remaining > 0
                && remaining < Long.MAX_VALUE
                && !head.method().equals("HEAD")) {
            abort();
            return;
        }
        ended = true;
        channel.flush();
        handler.responseEnded(this);
    }

    /** Closes the connection before the response is complete, so that the peer detects the truncation. */
    public void abort() {
        ended = true;
        channel.flush();
        channel.close();
    }

    /** Sends a complete response if none has started, and closes the connection after it. */
    public void respondAndClose(int status, Headers headers, String type, String content) {
        handler.closeAfterResponse();
        respond(status, headers, type, content);
    }

    void writabilityChanged() {
        if (!ended && onWritable != null && channel.isWritable()) {
            onWritable.run();
        }
    }

    void connectionLost() {
        if (!ended) {
            ended = true;
            if (onClosed != null) {
                onClosed.run();
            }
        }
    }

    static void closeWhenFlushed(Channel channel) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
}
