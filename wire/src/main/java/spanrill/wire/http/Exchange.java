package spanrill.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;

/**
 * One request at a server and its answer, which is given whole or in parts. An exchange is answered once;
 * whatever comes after its end or after its connection's is dropped. On the connection's event loop only.
 */
public final class Exchange {
    private final Channel channel;
    private final HttpServerHandler handler;
    private final RequestHead head;
    private final byte[] body;
    private boolean started;
    private boolean ended;
    private boolean chunked;
    private long left;
    private Headers also;
    private Runnable onWritable;
    private Runnable onClosed;

    Exchange(Channel channel, HttpServerHandler handler, RequestHead head, byte[] body) {
        this.channel = channel;
        this.handler = handler;
        this.head = head;
        this.body = body;
    }

    /** The request's head. */
    public RequestHead head() {
        return head;
    }

    /** The request's body. */
    public byte[] body() {
        return body;
    }

    /** The connection that it came on. */
    public Channel channel() {
        return channel;
    }

    /** These fields go out with the answer too, whatever it is. */
    public void setExtraHeaders(Headers headers) {
        also = headers;
    }

    /** Called when the connection takes more after {@link #isWritable} was false. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    /** Called once when the connection is lost before the end of the answer. */
    public void onClosed(Runnable action) {
        onClosed = action;
    }

    /** Called once when the connection is lost before the end, unless {@link #onClosed} was set already. */
    public void onClosedIfUnset(Runnable action) {
        if (onClosed == null) {
            onClosed = action;
        }
    }

    /** False when the connection holds as much as it may: write no more until {@link #onWritable}. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** True when the answer is complete or the connection lost. */
    public boolean isEnded() {
        return ended || !channel.isActive();
    }

    /** True once a head was written. */
    public boolean isStarted() {
        return started;
    }

    /** Answers whole. */
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

    /** Answers whole with a text. */
    public void respond(int status, Headers headers, String type, String content) {
        respond(status, headers.add("content-type", type), content.getBytes(StandardCharsets.UTF_8));
    }

    /** Begins an answer of so many bytes; -1: as many as come, in chunks. */
    public void start(int status, Headers headers, long length) {
        if (isEnded() || started) {
            return;
        }
        started = true;
        for (int i = 0; also != null && i < also.size(); i++) {
            headers.add(also.name(i), also.value(i));
        }
        boolean none = status == 204 || status == 304;
        chunked = length < 0 && !none;
        if (chunked && head.minor() == 0) {
            // HTTP/1.0 knows no chunks: the end of the connection ends the body.
            chunked = false;
            handler.closeAfter();
        } else if (chunked) {
            headers.add("transfer-encoding", "chunked");
        } else if (!none) {
            headers.add("content-length", Long.toString(length));
        }
        left = length < 0 ? Long.MAX_VALUE : length;
        if (handler.closing(head)) {
            headers.add("connection", "close");
        }
        ByteBuf out = channel.alloc().buffer(256);
        HttpWriter.writeResponseHead(out, status, headers);
        channel.write(out);
    }

    /** Writes part of the body and takes the buffer over. */
    public void write(ByteBuf part) {
        int bytes = part.readableBytes();
        if (isEnded() || bytes == 0 || head.method().equals("HEAD")) {
            part.release();
            left -= bytes;
            return;
        }
        if (bytes > left) {
            part.release();
            throw new IllegalStateException("more bytes than the head says");
        }
        left -= bytes;
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

    /** Ends the answer. One that is shorter than its head says closes the connection. */
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
                && left > 0
                && left < Long.MAX_VALUE
                && !head.method().equals("HEAD")) {
            abort();
            return;
        }
        ended = true;
        channel.flush();
        handler.answered(this);
    }

    /** Gives the answer up: the peer sees the connection end within it. */
    public void abort() {
        ended = true;
        channel.flush();
        channel.close();
    }

    /** Answers, if that is still possible, and closes the connection. */
    public void respondAndClose(int status, Headers headers, String type, String content) {
        handler.closeAfter();
        respond(status, headers, type, content);
    }

    void writabilityChanged() {
        if (!ended && onWritable != null && channel.isWritable()) {
            onWritable.run();
        }
    }

    void lost() {
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
