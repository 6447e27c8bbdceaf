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

/** One connection of clients to a node. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** What the clients on it do about what comes. */
    interface Listener {
        void heard(ClientConnection on, Message message);

        /** The node ended it; {@code open}: requests without an answer. */
        void ended(ClientConnection connection, List<ClientRequest> open);
    }

    private final NodeProcess node;
    private final int number;
    private final boolean single;
    private final Listener listener;
    private final EventLog log;
    private final SplittableRandom random;
    private final MessageDecoder decoder = new MessageDecoder();
    private final Map<Long, ClientRequest> open = new LinkedHashMap<>();
    private final List<Consumer<PacedWriter>> early = new ArrayList<>();
    private Channel channel;
    private PacedWriter writer;
    private boolean closedHere;
    private boolean ended;
    private boolean unreadable;
    private int requests;
    private double usedAt;

    /**
     * A connection that is coming up.
     *
     * @param single true when one request only is made on it
     */
    ClientConnection(
            NodeProcess node, int number, boolean single, Listener listener, EventLog log, SplittableRandom random) {
        this.node = node;
        this.number = number;
        this.single = single;
        this.listener = listener;
        this.log = log;
        this.random = random;
        usedAt = log.now();
    }

    NodeProcess node() {
        return node;
    }

    int number() {
        return number;
    }

    boolean single() {
        return single;
    }

    boolean usable() {
        return !ended && !closedHere;
    }

    int requests() {
        return requests;
    }

    double usedAt() {
        return usedAt;
    }

    boolean idle() {
        return open.isEmpty() && early.isEmpty();
    }

    /** Writes something now, or when it is up. */
    void write(Consumer<PacedWriter> action) {
        usedAt = log.now();
        if (writer == null) {
            early.add(action);
        } else {
            action.accept(writer);
        }
    }

    void send(Message message) {
        write(to -> to.write(message));
    }

    void ask(ClientRequest request, boolean inPieces, Consumer<Boolean> sent) {
        requests++;
        request.on(this);
        open.put(request.id(), request);
        write(to -> to.write(request.setUp(), inPieces, f -> sent.accept(f.isSuccess())));
    }

    ClientRequest request(long id) {
        return open.get(id);
    }

    void done(ClientRequest request) {
        open.remove(request.id());
        usedAt = log.now();
    }

    /** The client closes it; requests open on it are given up. */
    void close() {
        closedHere = true;
        log.add(EventKind.CLIENT_CLOSED, node.index(), "", 0, number, 0);
        for (ClientRequest request : open.values()) {
            log.add(EventKind.CLIENT_CLOSED, node.index(), request.plan().name(), request.id(), number, 0);
        }
        open.clear();
        if (channel != null) {
            channel.close();
        }
    }

    /** It could not be made. */
    void refused() {
        end(false);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        writer = new PacedWriter(channel, random);
        if (closedHere) {
            channel.close();
            return;
        }
        early.forEach(action -> action.accept(writer));
        early.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        ByteBuf in = (ByteBuf) part;
        try {
            decoder.feed(in, message -> {
                listener.heard(this, message);
                return true;
            });
        } catch (MalformedFrameException fault) {
            unreadable = true;
            channel.close();
        } finally {
            in.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end(unreadable);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        unreadable = true;
        ctx.close();
    }

    private void end(boolean reset) {
        if (ended) {
            return;
        }
        ended = true;
        decoder.release();
        if (!closedHere) {
            log.add(EventKind.NODE_CLOSED, node.index(), "", 0, number, reset ? 1 : 0);
            List<ClientRequest> unanswered = new ArrayList<>(open.values());
            open.clear();
            listener.ended(this, unanswered);
        }
    }
}
