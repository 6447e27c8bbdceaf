package spanrill.soak;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import spanrill.wire.platform.MalformedFrameException;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;

/** A connection from clients to a node. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Receives the messages and the end of a connection. */
    interface Listener {
        void onMessage(ClientConnection connection, Message message);

        /**
         * Called when the node closes the connection or the connection cannot be opened.
         *
         * @param open requests without an answer
         */
        void onClosedByNode(ClientConnection connection, List<ClientRequest> open);
    }

    private final NodeProcess node;
    private final int number;
    private final boolean dedicated;
    private final Listener listener;
    private final EventLog log;
    private final SplittableRandom random;
    private final MessageDecoder decoder = new MessageDecoder();
    private final Map<Long, ClientRequest> open = new LinkedHashMap<>();
    private final List<Consumer<PacedWriter>> pendingWrites = new ArrayList<>();
    private Channel channel;
    private PacedWriter writer;
    private boolean closedByClient;
    private boolean closed;
    private boolean failed;
    private int requestCount;
    private double lastUsedAtMs;

    /**
     * Creates a connection that is being opened.
     *
     * @param dedicated true if the connection is used for one request only
     */
    ClientConnection(
            NodeProcess node, int number, boolean dedicated, Listener listener, EventLog log, SplittableRandom random) {
        this.node = node;
        this.number = number;
        this.dedicated = dedicated;
        this.listener = listener;
        this.log = log;
        this.random = random;
        lastUsedAtMs = log.elapsedMs();
    }

    NodeProcess node() {
        return node;
    }

    int number() {
        return number;
    }

    boolean dedicated() {
        return dedicated;
    }

    boolean isUsable() {
        return !closed && !closedByClient;
    }

    int requestCount() {
        return requestCount;
    }

    double lastUsedAtMs() {
        return lastUsedAtMs;
    }

    boolean isIdle() {
        return open.isEmpty() && pendingWrites.isEmpty();
    }

    /** Runs a write now, or as soon as the connection is open. */
    void write(Consumer<PacedWriter> action) {
        lastUsedAtMs = log.elapsedMs();
        if (writer == null) {
            pendingWrites.add(action);
        } else {
            action.accept(writer);
        }
    }

    void send(Message message) {
        write(pacedWriter -> pacedWriter.write(message));
    }

    void sendRequest(ClientRequest request, boolean fragmented, Consumer<Boolean> onWritten) {
        requestCount++;
        request.setConnection(this);
        open.put(request.id(), request);
        write(pacedWriter ->
                pacedWriter.write(request.setUpMessage(), fragmented, f -> onWritten.accept(f.isSuccess())));
    }

    ClientRequest request(long id) {
        return open.get(id);
    }

    void complete(ClientRequest request) {
        open.remove(request.id());
        lastUsedAtMs = log.elapsedMs();
    }

    /** Closes the connection from the client's side, which cancels its open requests. */
    void close() {
        closedByClient = true;
        log.add(EventKind.CLIENT_CLOSED, node.index(), "", 0, number, 0);
        for (ClientRequest request : open.values()) {
            log.add(
                    EventKind.CLIENT_CLOSED,
                    node.index(),
                    request.serviceClass().name(),
                    request.id(),
                    number,
                    0);
        }
        open.clear();
        if (channel != null) {
            channel.close();
        }
    }

    /** Called when the connection could not be opened. */
    void connectFailed() {
        onClosed(false);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        writer = new PacedWriter(channel, random);
        if (closedByClient) {
            channel.close();
            return;
        }
        pendingWrites.forEach(action -> action.accept(writer));
        pendingWrites.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object data) {
        ByteBuf in = (ByteBuf) data;
        try {
            decoder.feed(in, message -> {
                listener.onMessage(this, message);
                return true;
            });
        } catch (MalformedFrameException fault) {
            failed = true;
            channel.close();
        } finally {
            in.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onClosed(failed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failed = true;
        ctx.close();
    }

    private void onClosed(boolean reset) {
        if (closed) {
            return;
        }
        closed = true;
        decoder.release();
        if (!closedByClient) {
            log.add(EventKind.NODE_CLOSED, node.index(), "", 0, number, reset ? 1 : 0);
            List<ClientRequest> unanswered = new ArrayList<>(open.values());
            open.clear();
            listener.onClosedByNode(this, unanswered);
        }
    }
}
