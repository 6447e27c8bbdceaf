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
import java.io.IOException;
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
 * One connection to a server. A connection on which input cannot be parsed is closed, and one on which an answer stayed
 * out gets no new set-ups: in both cases the outcome of the other set-ups on it is unknown.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    // A server has to receive a release within 1 s, so a release written that long before the end of the connection
    // counts as received.
    private static final double RELEASE_RECEIVED_MS = 1000;
    private static final int MAX_UNACKNOWLEDGED = 512;
    /** Maximum wait for the server to close its side; a server normally does so within a round trip. */
    private static final long LINGER_MS = 500;

    private final ConnectionPool server;
    private final SessionHost host;
    private final MessageDecoder decoder = new MessageDecoder();
    private final Map<Long, Attempt> openAttempts = new LinkedHashMap<>();
    // The open attempts of which no byte was written yet.
    private final Set<Attempt> unwritten = new LinkedHashSet<>();
    private final UnacknowledgedReleases unacknowledged =
            new UnacknowledgedReleases(RELEASE_RECEIVED_MS, MAX_UNACKNOWLEDGED);
    private final NextIterationExecutor nextIteration;
    private Channel channel;
    private boolean connected;
    private boolean closedToSetUps;
    private boolean retired;
    /** This side is closing the connection; input is still read. */
    private boolean closing;

    private boolean ended;
    /** Limits answers to set-ups that are not open here: late answers are usual, an endless stream is not. */
    private final AbuseLimiter unsolicitedAnswers = new AbuseLimiter();

    private double lastUsedAt = Clock.monotonicMs();
    private double lastReceivedAt = lastUsedAt;

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
                onConnected();
            } else {
                // Only a refusal by the server's host proves that no process listens there; a time-out or a close
                // by this side does not.
                boolean refused =
                        f.cause() instanceof ConnectException && !(f.cause() instanceof ConnectTimeoutException);
                finish(refused ? Event.CONNECT_REFUSED : Event.CONNECT_TIMED_OUT, refused);
            }
        });
    }

    private void onConnected() {
        connected = true;
        lastReceivedAt = Clock.monotonicMs();
        server.onConnected(this);
        // Input that arrived while the connection was being established is read first: the viewers may have left.
        nextIteration.execute(this::writeUnwritten);
    }

    private void writeUnwritten() {
        for (Attempt attempt : List.copyOf(unwritten)) {
            if (!ended && unwritten.contains(attempt)) {
                write(attempt);
            }
        }
    }

    // ---- state

    int openSetUps() {
        return openAttempts.size();
    }

    boolean hasOpenSetUp(long session) {
        return openAttempts.containsKey(session);
    }

    boolean isCarrying(Attempt attempt) {
        return openAttempts.get(attempt.session()) == attempt;
    }

    /** True while output has not been handed to the operating system. */
    boolean hasUnflushed() {
        ChannelOutboundBuffer out = connected ? channel.unsafe().outboundBuffer() : null;
        return out != null && !out.isEmpty();
    }

    boolean isConnected() {
        return connected && !ended;
    }

    /** True when this side has begun to close the connection and still reads input. */
    boolean isClosing() {
        return closing;
    }

    /** True when messages may be written to the connection. */
    boolean isWritable() {
        return isConnected() && !closing;
    }

    boolean acceptsSetUps() {
        return !closedToSetUps && !ended;
    }

    /** True when this side has closed the connection or will close it. */
    boolean isRetired() {
        return retired;
    }

    double lastUsedAt() {
        return lastUsedAt;
    }

    double lastReceivedAt() {
        return lastReceivedAt;
    }

    // ---- output

    void setUp(Attempt attempt) {
        lastUsedAt = Clock.monotonicMs();
        openAttempts.put(attempt.session(), attempt);
        unwritten.add(attempt);
        if (connected) {
            write(attempt);
        }
    }

    private void write(Attempt attempt) {
        unwritten.remove(attempt);
        SetUp setUp = attempt.setUp();
        Message message = new Message(MessageType.SET_UP, attempt.session())
                .with(Parameter.CLASS, setUp.className())
                .with(Parameter.WAIT, Long.toString(host.remainingMs(attempt)))
                .with(Parameter.TITLE, setUp.title())
                .with(Parameter.DESCRIPTION, setUp.description());
        if (attempt.rung() >= 0) {
            message.with(Parameter.RUNG, Integer.toString(attempt.rung()));
        }
        boolean outputEmpty = channel.isWritable()
                && channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().isEmpty();
        ChannelFuture written = send(message);
        if (written.isDone() && !written.isSuccess() && outputEmpty) {
            // The operating system accepted no byte of the set-up, which proves that it never ran.
            openAttempts.remove(attempt.session());
            host.onAttemptEnded(attempt, OutcomeTable.outcomeOf(Stage.CONNECTED, Event.RESET), null);
        }
    }

    ChannelFuture send(Message message) {
        ByteBuf out = channel.alloc().heapBuffer(message.size());
        message.write(out);
        return channel.writeAndFlush(out);
    }

    /** Releases a session that is or may be established. */
    void release(long session) {
        unacknowledged.recordWritten(Clock.monotonicMs(), session);
        send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_CLEARING));
    }

    /** Gives up an attempt that is open here; true when no byte of its set-up was written. */
    boolean giveUp(Attempt attempt) {
        openAttempts.remove(attempt.session());
        if (unwritten.remove(attempt)) {
            return true;
        }
        release(attempt.session());
        closedToSetUps |= host.remainingMs(attempt) <= 1;
        return false;
    }

    /** Gives up the attempts that are open here and closes the connection: the server at its other end is not known. */
    void giveUpAndClose() {
        closedToSetUps = true;
        retired = true;
        for (Attempt attempt : List.copyOf(openAttempts.values())) {
            Stage stage = giveUp(attempt) ? Stage.CONNECTING : Stage.WRITTEN;
            host.onAttemptEnded(attempt, OutcomeTable.outcomeOf(stage, Event.RESET), null);
        }
        close();
    }

    /** Withdraws and returns the attempts that wait for the connection to be established. */
    List<Attempt> withdrawUnsent() {
        List<Attempt> waiting = List.copyOf(unwritten);
        unwritten.clear();
        waiting.forEach(attempt -> openAttempts.remove(attempt.session()));
        return waiting;
    }

    /** Stops accepting set-ups and closes the connection once no set-up is open on it. */
    void retire() {
        closedToSetUps = true;
        retired = true;
        if (openAttempts.isEmpty()) {
            close();
        }
    }

    /**
     * Closes the connection in order: flushes the output, shuts it down, and reads input until the server closes its
     * side or {@link #LINGER_MS} have passed.
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

    // ---- input

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        ByteBuf in = (ByteBuf) part;
        try {
            if (!ended) {
                lastReceivedAt = Clock.monotonicMs();
                server.onReceived();
                decoder.feed(in, this::handleMessage);
            }
        } catch (MalformedFrameException fault) {
            finish(Event.RESET, false);
            ctx.close();
        } finally {
            in.release();
        }
        if (closedToSetUps && openAttempts.isEmpty()) {
            close();
        }
    }

    private boolean handleMessage(Message message) {
        switch (message.type()) {
            case ANSWER -> handleAnswer(message);
            case RELEASE -> handleRelease(message);
            case NOTE -> handleNote(message);
            case RELEASE_ACKNOWLEDGED -> unacknowledged.acknowledge(message.session());
            default -> {}
        }
        return !ended;
    }

    private void handleAnswer(Message message) {
        Attempt attempt = openAttempts.remove(message.session());
        if (attempt == null) {
            chargeUnsolicitedAnswer();
            return;
        }
        lastUsedAt = lastReceivedAt;
        byte[] description = message.get(Parameter.DESCRIPTION);
        if (description == null || message.hasDuplicateParameter()) {
            // A valid frame with an invalid answer: further answers on this connection are not trustworthy.
            closedToSetUps = true;
            server.releasePossiblyEstablished(attempt.session());
            host.onAttemptEnded(attempt, Outcome.RESET, null);
            return;
        }
        host.onAnswer(attempt, description);
    }

    private void handleRelease(Message message) {
        unacknowledged.acknowledge(message.session());
        Attempt attempt = openAttempts.remove(message.session());
        if (attempt != null) {
            lastUsedAt = lastReceivedAt;
            host.onAttemptEnded(attempt, ReleaseOutcomes.beforeAnswer(message.cause()), parseLoad(message));
        } else {
            host.onSessionEnded(
                    server.id(), message.session(), ReleaseOutcomes.afterAnswer(message.cause()), parseLoad(message));
        }
    }

    private void chargeUnsolicitedAnswer() {
        if (unsolicitedAnswers.chargeRejectedSetUp(Clock.monotonicMs())) {
            finish(Event.RESET, false);
            channel.close();
        }
    }

    private void handleNote(Message message) {
        String kind = message.text(Parameter.NOTE_KIND);
        double value = LoadReport.parseFinite(message.text(Parameter.NOTE_VALUE));
        NoteKind noteKind = kind == null
                ? null
                : switch (kind) {
                    case "quality" -> NoteKind.DELIVERED;
                    case "profile" -> NoteKind.RUNG;
                    case "nic" -> NoteKind.LINK_USE;
                    case "tor" -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        if (noteKind != null && !Double.isNaN(value)) {
            host.onNote(server.id(), message.session(), noteKind, value);
        }
    }

    private static Load parseLoad(Message message) {
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
        if (!(cause instanceof IOException)) {
            server.logFault(cause);
        }
        finish(Event.RESET, false);
        ctx.close();
    }

    private void finish(Event event, boolean refused) {
        if (ended) {
            return;
        }
        ended = true;
        decoder.release();
        List<Attempt> openAtEnd = new ArrayList<>(openAttempts.values());
        Set<Attempt> unsent = Set.copyOf(unwritten);
        openAttempts.clear();
        unwritten.clear();
        server.onConnectionEnded(this, refused);
        server.retransmitReleases(unacknowledged.takeUnacknowledged(Clock.monotonicMs()));
        for (Attempt attempt : openAtEnd) {
            boolean neverWritten = unsent.contains(attempt);
            if (!neverWritten) {
                server.releasePossiblyEstablished(attempt.session());
            }
            host.onAttemptEnded(
                    attempt, OutcomeTable.outcomeOf(neverWritten ? Stage.CONNECTING : Stage.WRITTEN, event), null);
        }
    }
}
