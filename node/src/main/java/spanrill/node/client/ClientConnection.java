package spanrill.node.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spanrill.decisions.AbuseLimiter;
import spanrill.decisions.ClientConnectionState;
import spanrill.decisions.ClientConnectionState.Phase;
import spanrill.decisions.CloseReason;
import spanrill.decisions.ConnectionEviction;
import spanrill.decisions.ConnectionTimeouts;
import spanrill.decisions.RecentAnswers;
import spanrill.loop.Clock;
import spanrill.node.session.ClientLink;
import spanrill.node.session.ReleaseReason;
import spanrill.node.session.SessionHost;
import spanrill.wire.platform.Cause;
import spanrill.wire.platform.InvalidFieldException;
import spanrill.wire.platform.MalformedFrameException;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;
import spanrill.wire.platform.SetUp;

/**
 * One client connection: many sessions, each message checked before the sessions see it. How it ends is
 * decided by its {@link ClientConnectionState}; this class carries that out.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientLink {
    /** More unflushed bytes than this, and the client reads far slower than it asks. */
    private static final long MOST_UNFLUSHED_BYTES = 256 * 1024;
    /** A client that has read nothing for this long while its buffer is full does not read. */
    private static final double STALLED_MS = 1000;
    /** The first request follows a new connection at once, but may be under way for so long; ms. */
    private static final double REQUEST_UNDER_WAY_MS = 300;

    private final ClientListener listener;
    private final SessionHost host;
    private final boolean retryAfter;
    private final MessageDecoder decoder = new MessageDecoder();
    private final ClientConnectionState state = new ClientConnectionState();
    private final AbuseLimiter abuse = new AbuseLimiter();
    private final Set<Long> openRequests = new LinkedHashSet<>();
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final ChannelFutureListener flushed = future -> flushed();
    private final double acceptedAt = Clock.monotonicMs();
    private double usefulAt = acceptedAt;
    private double flushedAt = acceptedAt;
    private double messageBeganAt = Double.NaN;
    private long messages;
    private int standing;
    /** Something useful came on it: a set-up that could be used, or a test. */
    private boolean proven;
    /** A client was served on it: not so where only the platform tests. */
    private boolean served;

    private boolean written;
    /** More of what has arrived is about to be read: it comes before any end. */
    private boolean reading;
    /** The loop is about to read what has arrived, before this connection may end. */
    private boolean readingFirst;
    /** What had arrived has just been read. */
    private boolean inputRead;

    private int discardedRequests;
    private SocketChannel channel;

    ClientConnection(ClientListener listener, SessionHost host, boolean retryAfter) {
        this.listener = listener;
        this.host = host;
        this.retryAfter = retryAfter;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = (SocketChannel) ctx.channel();
    }

    // ---- input

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        ByteBuf in = (ByteBuf) part;
        reading = true;
        try {
            if (state.phase() == Phase.CLOSING) {
                state.onDiscarded(in.readableBytes());
            }
            if (state.readable()) {
                decoder.feed(in, this::message);
                messageBeganAt = messageBegan();
            }
        } catch (MalformedFrameException fault) {
            decoder.release();
            drain(CloseReason.UNREADABLE);
        } finally {
            in.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        advance();
    }

    private double messageBegan() {
        if (!decoder.hasPartialMessage()) {
            return Double.NaN;
        }
        return Double.isNaN(messageBeganAt) ? Clock.monotonicMs() : messageBeganAt;
    }

    /** Takes one message; false when no more can be read. */
    private boolean message(Message message) {
        listener.came(this, message);
        messages++;
        messageBeganAt = Double.NaN;
        boolean useful =
                switch (message.type()) {
                    case SET_UP -> setUp(message);
                    case RELEASE -> free(message, host.onClientRelease(message.session()));
                    case RELEASE_ACKNOWLEDGED -> free(message, host.onReleaseAcknowledged(message.session()));
                    case TEST -> free(message, test(message));
                    default -> free(message, false);
                };
        if (useful) {
            usefulAt = Clock.monotonicMs();
        }
        return state.readable();
    }

    /** Charges a message that asks for nothing; returns whether it was useful. */
    private boolean free(Message message, boolean useful) {
        if (abuse.chargeMessage(Clock.monotonicMs(), message.size())) {
            drain(CloseReason.ABUSE);
        }
        return useful;
    }

    private boolean test(Message message) {
        proven = true;
        return send(new Message(MessageType.TEST_RESULT, message.session()).withCause(1));
    }

    /** True when it could be used. */
    private boolean setUp(Message message) {
        SetUp setUp;
        try {
            setUp = SetUp.of(message);
        } catch (InvalidFieldException fault) {
            return reject(message.session(), fault.releaseCause(), fault.getMessage());
        }
        boolean stands = setUp.attributes().currentServer() != null;
        if (host.hasSession(setUp.session())) {
            return stands || repeated(setUp.session());
        }
        if (!stands && recentAnswers.crossesAnswer(Clock.monotonicMs(), setUp.session())) {
            return ignore(setUp.session(), "it crossed its answer");
        }
        if (!host.isAllowed(setUp)) {
            return reject(setUp.session(), Cause.INVALID_CONTENTS, "not of these settings");
        }
        if (state.requestHandling() != ClientConnectionState.RequestHandling.SERVE) {
            return stands || turnAway(setUp.session());
        }
        proven = true;
        if (stands) {
            served = true;
            host.takeOver(setUp, this);
            listener.good(this);
            return true;
        }
        return request(setUp);
    }

    private boolean request(SetUp setUp) {
        if (host.takeEarlyRelease(setUp.session())) {
            return reject(setUp.session(), Cause.TEMPORARY_FAILURE, "its viewer has withdrawn it");
        }
        double left = setUp.waitMs() - listener.unreadMs();
        if (left < 1) {
            // Its viewer has left: work on it would be for nobody.
            return reject(setUp.session(), Cause.TEMPORARY_FAILURE, "its time is up");
        }
        openRequests.add(setUp.session());
        host.setUp(setUp, this, left);
        return true;
    }

    /** Refuses a request that arrives while the connection drains: it never ran, trying again is harmless. */
    private boolean turnAway(long session) {
        listener.rejected(this, session, "the connection is " + state.phase() + " for " + state.reason());
        if (state.requestHandling() == ClientConnectionState.RequestHandling.DISCARD) {
            discardedRequests++;
            return false;
        }
        return release(session, Cause.CONGESTION, 0);
    }

    /** Fails a set-up that can't be used. */
    private boolean reject(long session, int cause, String why) {
        listener.rejected(this, session, why);
        release(session, cause, 0);
        if (abuse.chargeRejectedSetUp(Clock.monotonicMs())) {
            drain(CloseReason.ABUSE);
        }
        return false;
    }

    /**
     * A set-up under an id that is in use. Any message with this id would be taken for the answer or the end
     * of the first, so a repetition on the connection of the first gets none of its own.
     */
    private boolean repeated(long session) {
        if (!host.hasSessionOn(session, this)) {
            return reject(session, Cause.INVALID_REFERENCE, "the session is known");
        }
        return ignore(session, "a repetition");
    }

    private boolean ignore(long session, String why) {
        listener.rejected(this, session, why);
        if (abuse.chargeRejectedSetUp(Clock.monotonicMs())) {
            drain(CloseReason.ABUSE);
        }
        return false;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ended(CloseReason.PEER_CLOSED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ended(CloseReason.CONNECTION_FAILED);
        ctx.close();
    }

    // ---- output

    @Override
    public boolean isWritable() {
        return state.writable() && channel.isActive() && channel.isWritable();
    }

    @Override
    public void sendAnswer(long session, byte[] description) {
        openRequests.remove(session);
        proven = true;
        served = true;
        send(new Message(MessageType.ANSWER, session).with(Parameter.DESCRIPTION, description));
        listener.good(this);
        advance();
    }

    @Override
    public void requestWithdrawn(long session) {
        openRequests.remove(session);
        advance();
    }

    @Override
    public void sendRelease(long session, ReleaseReason end, double stayAwayMs) {
        openRequests.remove(session);
        release(
                session,
                switch (end) {
                    case REFUSED -> Cause.CONGESTION;
                    case FAILED, CUT -> Cause.TEMPORARY_FAILURE;
                    case OVER -> Cause.NORMAL_CLEARING;
                },
                end == ReleaseReason.REFUSED ? stayAwayMs : 0);
        advance();
    }

    @Override
    public void establishedSessionsChanged(boolean more) {
        standing += more ? 1 : -1;
    }

    @Override
    public void sendMove(long session) {
        send(new Message(MessageType.MOVE, session));
    }

    private boolean release(long session, int cause, double stayAwayMs) {
        listener.sent(this, session, cause);
        recentAnswers.recordAnswer(Clock.monotonicMs(), session);
        Message message = new Message(MessageType.RELEASE, session).withCause(cause);
        if (retryAfter && stayAwayMs >= 1) {
            message.with(Parameter.RETRY_AFTER, Long.toString(Math.round(stayAwayMs)));
        }
        return send(message);
    }

    private boolean send(Message message) {
        if (!state.writable() || !channel.isActive()) {
            return false;
        }
        if (unflushedBytes() > MOST_UNFLUSHED_BYTES) {
            close(CloseReason.OUTPUT_STALLED);
            return false;
        }
        written = true;
        ByteBuf out = channel.alloc().heapBuffer(message.size());
        message.write(out);
        channel.writeAndFlush(out).addListener(flushed);
        return true;
    }

    private void flushed() {
        flushedAt = Clock.monotonicMs();
        advance();
    }

    private long unflushedBytes() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes();
    }

    /** True while something lies in buffers of this process. */
    boolean hasUnflushed() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out != null && !out.isEmpty();
    }

    // ---- its end

    /** What counts where a descriptor is needed for a new connection. */
    ConnectionEviction.Candidate held(double now) {
        return new ConnectionEviction.Candidate(
                openRequests.size(),
                standing,
                served
                        ? ConnectionEviction.Activity.SERVED
                        : proven ? ConnectionEviction.Activity.NOT_SERVED : ConnectionEviction.Activity.NOTHING_USEFUL,
                now - usefulAt);
    }

    boolean served() {
        return served;
    }

    double usefulAt() {
        return usefulAt;
    }

    Phase phase() {
        return state.phase();
    }

    /** Ends it where its time-outs say so, and goes on with an end that has begun. */
    void onTick(double now) {
        if (state.phase() == Phase.OPEN) {
            ConnectionTimeouts.expiryReason(new ConnectionTimeouts.View(
                            now - acceptedAt, now - usefulAt, openRequests.size(), standing, proven, messageMs(now)))
                    .ifPresent(this::drain);
        }
        if (state.writable() && !channel.isWritable() && now - flushedAt >= STALLED_MS) {
            close(CloseReason.OUTPUT_STALLED);
        }
        advance();
    }

    private double messageMs(double now) {
        return Double.isNaN(messageBeganAt) ? 0 : Math.max(Double.MIN_VALUE, now - messageBeganAt);
    }

    /** Begins to end it, with the time for open requests that the reason states. */
    void drain(CloseReason reason) {
        state.startDrain(Clock.monotonicMs(), reason);
        if (reason == CloseReason.EVICTED) {
            // Its descriptor is needed now, not when its client has closed.
            listener.closing(this);
        }
        advance();
    }

    /** Begins to end it because the node shuts down; the last answers are given after {@code drainMs}. */
    void shutDown(double drainMs) {
        state.startDrain(Clock.monotonicMs(), CloseReason.SHUTDOWN, drainMs);
        advance();
    }

    /** Does what the state asks for. */
    private void advance() {
        if (reading || state.phase() == Phase.OPEN) {
            return;
        }
        double now = Clock.monotonicMs();
        switch (state.nextStep(now, view(now))) {
            case FAIL_OPEN_REQUESTS -> host.failOpenRequests(List.copyOf(openRequests));
            case READ_INPUT -> readFirst();
            case SHUT_DOWN_OUTPUT -> {
                listener.closing(this);
                channel.shutdownOutput();
            }
            case CLOSE -> close(state.reason());
            default -> {}
        }
    }

    private void readFirst() {
        if (readingFirst) {
            return;
        }
        readingFirst = true;
        listener.afterReading(() -> {
            readingFirst = false;
            inputRead = true;
            advance();
            inputRead = false;
        });
    }

    private ClientConnectionState.View view(double now) {
        boolean begun = messageMs(now) > 0 && messageMs(now) < REQUEST_UNDER_WAY_MS;
        boolean fresh = messages == 0 && now - acceptedAt < REQUEST_UNDER_WAY_MS;
        return new ClientConnectionState.View(
                openRequests.size(),
                served && host.hasPendingReleases(),
                hasUnflushed(),
                begun || fresh,
                written,
                inputRead);
    }

    /** Closes the socket of a connection whose output was shut down before. */
    void closeNow() {
        close(state.reason());
    }

    /** Closes the socket; requests still open on it are given up. */
    private void close(CloseReason reason) {
        ended(reason);
        channel.close();
    }

    private void ended(CloseReason reason) {
        if (state.phase() == Phase.CLOSED) {
            return;
        }
        state.onClosed(reason);
        listener.closed(new ClosedConnection(
                toString(),
                state.reason(),
                reason,
                openRequests.size(),
                discardedRequests,
                messages,
                Clock.monotonicMs() - acceptedAt));
        decoder.release();
        host.onClientConnectionEnded(new ArrayList<>(openRequests));
        openRequests.clear();
    }

    @Override
    public String toString() {
        return channel == null ? "" : channel.id().asShortText();
    }
}
