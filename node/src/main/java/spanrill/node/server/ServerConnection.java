package spanrill.node.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.AbuseLimiter;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.decisions.ReleaseOutcomes;
import spanrill.decisions.UnacknowledgedReleases;
import spanrill.loop.Clock;
import spanrill.loop.NextIterationExecutor;
import spanrill.node.session.Attempt;
import spanrill.node.session.SessionHost;
import spanrill.setup.SettingsReader;
import spanrill.wire.platform.Cause;
import spanrill.wire.platform.LoadReport;
import spanrill.wire.platform.MalformedFrameException;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;
import spanrill.wire.platform.SetUp;

/**
 * One connection to a server. A connection that carried what can't be read is closed, and one whose answer
 * stayed out takes nothing new: neither tells what became of the rest.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    // A release has to be heard within 1 s, so what was written so long before the end has been.
    private static final double ARRIVED_MS = 1000;
    private static final int MOST_SAID = 512;
    /** A server that has seen the end of the output closes within a round trip; slow ones get this long. */
    private static final long LINGER_MS = 500;

    private final ConnectionPool server;
    private final SessionHost host;
    private final MessageDecoder decoder = new MessageDecoder();
    private final Map<Long, Attempt> open = new LinkedHashMap<>();
    // Of those open, the ones of which nothing was written yet.
    private final Set<Attempt> unwritten = new LinkedHashSet<>();
    private final UnacknowledgedReleases unacknowledged = new UnacknowledgedReleases(ARRIVED_MS, MOST_SAID);
    private final NextIterationExecutor nextIteration;
    private Channel channel;
    private boolean connected;
    private boolean suspect;
    private boolean retired;
    /** Nothing can be written any more; what the server still says is read. */
    private boolean closing;

    private boolean over;
    /** Judges answers for set-ups that are not open here: late ones are usual, an endless stream is not. */
    private final AbuseLimiter unsolicited = new AbuseLimiter();

    private double usedAt = Clock.monotonicMs();
    private double heardAt = usedAt;

    ServerConnection(ConnectionPool server, SessionHost host, NextIterationExecutor nextIteration) {
        this.server = server;
        this.host = host;
        this.nextIteration = nextIteration;
    }

    void connect(EventLoop loop, InetSocketAddress address, int connectMs) {
        ChannelFuture future = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(this)
                .connect(address);
        channel = future.channel();
        future.addListener(f -> {
            if (f.isSuccess()) {
                opened();
            } else {
                // Refused by the other end, and neither late nor closed here meanwhile: only that says that
                // no process listens there.
                boolean refused =
                        f.cause() instanceof ConnectException && !(f.cause() instanceof ConnectTimeoutException);
                finish(refused ? Event.CONNECT_REFUSED : Event.CONNECT_TIMED_OUT, refused);
            }
        });
    }

    private void opened() {
        connected = true;
        heardAt = Clock.monotonicMs();
        server.opened(this);
        // What came while this connection did is read first: the viewers may have left.
        nextIteration.execute(this::writeWaiting);
    }

    private void writeWaiting() {
        for (Attempt attempt : List.copyOf(unwritten)) {
            if (!over && unwritten.contains(attempt)) {
                write(attempt);
            }
        }
    }

    // ---- how it stands

    int open() {
        return open.size();
    }

    boolean carries(long session) {
        return open.containsKey(session);
    }

    boolean holds(Attempt attempt) {
        return open.get(attempt.session()) == attempt;
    }

    /** True while something lies in buffers of this process. */
    boolean hasUnflushed() {
        ChannelOutboundBuffer out = connected ? channel.unsafe().outboundBuffer() : null;
        return out != null && !out.isEmpty();
    }

    boolean connected() {
        return connected && !over;
    }

    /** True when this side has ended it and reads what the server still says. */
    boolean closing() {
        return closing;
    }

    /** True when messages may be written to it. */
    boolean writable() {
        return connected() && !closing;
    }

    boolean usable() {
        return !suspect && !over;
    }

    /** True when this side ended it, or was about to. */
    boolean retired() {
        return retired;
    }

    double usedAt() {
        return usedAt;
    }

    double heardAt() {
        return heardAt;
    }

    // ---- what goes out

    void setUp(Attempt attempt) {
        usedAt = Clock.monotonicMs();
        open.put(attempt.session(), attempt);
        unwritten.add(attempt);
        if (connected) {
            write(attempt);
        }
    }

    private void write(Attempt attempt) {
        unwritten.remove(attempt);
        SetUp asked = attempt.setUp();
        Message message = new Message(MessageType.SET_UP, attempt.session())
                .with(Parameter.CLASS, asked.className())
                .with(Parameter.WAIT, Long.toString(host.remainingMs(attempt)))
                .with(Parameter.TITLE, asked.title())
                .with(Parameter.DESCRIPTION, asked.description());
        if (attempt.rung() >= 0) {
            message.with(Parameter.RUNG, Integer.toString(attempt.rung()));
        }
        boolean nothingWaits = channel.isWritable()
                && channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().isEmpty();
        ChannelFuture written = send(message);
        if (written.isDone() && !written.isSuccess() && nothingWaits) {
            // The operating system took no byte of it: proof that it never ran.
            open.remove(attempt.session());
            host.onAttemptEnded(attempt, OutcomeTable.outcomeOf(Stage.CONNECTED, Event.RESET), null);
        }
    }

    ChannelFuture send(Message message) {
        ByteBuf out = channel.alloc().heapBuffer(message.size());
        message.write(out);
        return channel.writeAndFlush(out);
    }

    /** Releases a session that stands, or may. */
    void release(long session) {
        unacknowledged.recordWritten(Clock.monotonicMs(), session);
        send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_CLEARING));
    }

    /** Gives up an attempt that is held here; true when nothing of it was written. */
    boolean giveUp(Attempt attempt) {
        open.remove(attempt.session());
        if (unwritten.remove(attempt)) {
            return true;
        }
        release(attempt.session());
        suspect |= host.remainingMs(attempt) <= 1;
        return false;
    }

    /** What waits for the connection to come up; it is open here no longer. */
    List<Attempt> withdrawUnsent() {
        List<Attempt> waiting = List.copyOf(unwritten);
        unwritten.clear();
        waiting.forEach(attempt -> open.remove(attempt.session()));
        return waiting;
    }

    /** Takes nothing new and closes once nothing is open on it. */
    void retire() {
        suspect = true;
        retired = true;
        if (open.isEmpty()) {
            close();
        }
    }

    /**
     * Ends it in order: what was written goes out, the output is shut down, and what the server still says is
     * read until it ends its side too, or a bounded time has passed.
     */
    private void close() {
        if (closing || channel == null) {
            return;
        }
        if (!connected) {
            channel.close();
            return;
        }
        closing = true;
        channel.writeAndFlush(channel.alloc().heapBuffer(0)).addListener(flushed -> {
            if (flushed.isSuccess()) {
                ((SocketChannel) channel).shutdownOutput();
                channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        });
    }

    // ---- what comes in

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        ByteBuf in = (ByteBuf) part;
        try {
            if (!over) {
                heardAt = Clock.monotonicMs();
                server.heard();
                decoder.feed(in, this::message);
            }
        } catch (MalformedFrameException fault) {
            finish(Event.RESET, false);
            ctx.close();
        } finally {
            in.release();
        }
        if (suspect && open.isEmpty()) {
            close();
        }
    }

    private boolean message(Message message) {
        switch (message.type()) {
            case ANSWER -> answer(message);
            case RELEASE -> release(message);
            case NOTE -> note(message);
            case RELEASE_ACKNOWLEDGED -> unacknowledged.acknowledge(message.session());
            default -> {}
        }
        return !over;
    }

    private void answer(Message message) {
        Attempt attempt = open.remove(message.session());
        if (attempt == null) {
            stray();
            return;
        }
        usedAt = heardAt;
        byte[] description = message.get(Parameter.DESCRIPTION);
        if (description == null || message.hasDuplicateParameter()) {
            // Framed well, yet no answer: what else comes here can't be trusted either.
            suspect = true;
            server.possiblyEstablished(attempt.session());
            host.onAttemptEnded(attempt, Outcome.RESET, null);
            return;
        }
        host.onAnswer(attempt, description);
    }

    private void release(Message message) {
        unacknowledged.acknowledge(message.session());
        Attempt attempt = open.remove(message.session());
        if (attempt != null) {
            usedAt = heardAt;
            host.onAttemptEnded(attempt, ReleaseOutcomes.beforeAnswer(message.cause()), load(message));
        } else {
            host.onSessionEnded(
                    server.id(), message.session(), ReleaseOutcomes.afterAnswer(message.cause()), load(message));
        }
    }

    private void stray() {
        if (unsolicited.chargeRejectedSetUp(Clock.monotonicMs())) {
            finish(Event.RESET, false);
            channel.close();
        }
    }

    private void note(Message message) {
        String kind = message.text(Parameter.NOTE_KIND);
        double value = LoadReport.parseFinite(message.text(Parameter.NOTE_VALUE));
        NoteKind told = kind == null
                ? null
                : switch (kind) {
                    case "quality" -> NoteKind.DELIVERED;
                    case "profile" -> NoteKind.RUNG;
                    case "nic" -> NoteKind.LINK_USE;
                    case "tor" -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        if (told != null && !Double.isNaN(value)) {
            host.onNote(server.id(), message.session(), told, value);
        }
    }

    private static Load load(Message message) {
        Map<String, Double> report = LoadReport.parse(message.text(Parameter.LOAD_REPORT));
        return report == null ? null : SettingsReader.load(report);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (connected) {
            finish(Event.CLOSED, false);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        finish(Event.RESET, false);
        ctx.close();
    }

    private void finish(Event event, boolean refused) {
        if (over) {
            return;
        }
        over = true;
        decoder.release();
        List<Attempt> lost = new ArrayList<>(open.values());
        Set<Attempt> unsent = Set.copyOf(unwritten);
        open.clear();
        unwritten.clear();
        server.ended(this, refused);
        server.releaseAgain(unacknowledged.takeUnacknowledged(Clock.monotonicMs()));
        for (Attempt attempt : lost) {
            boolean never = unsent.contains(attempt);
            if (!never) {
                server.possiblyEstablished(attempt.session());
            }
            host.onAttemptEnded(attempt, OutcomeTable.outcomeOf(never ? Stage.CONNECTING : Stage.WRITTEN, event), null);
        }
    }
}
