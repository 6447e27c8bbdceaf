package spanrill.node.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spanrill.decisions.AbuseLimiter;
import spanrill.decisions.ClientActivity;
import spanrill.decisions.ClientConnectionState;
import spanrill.decisions.ClientConnectionState.Phase;
import spanrill.decisions.CloseReason;
import spanrill.decisions.ConnectionEviction;
import spanrill.decisions.ConnectionTimeouts;
import spanrill.decisions.RecentAnswers;
import spanrill.decisions.ReleaseRoutes;
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
 * A client connection, which carries the messages of many sessions. Each message is validated before it is passed
 * to the {@link SessionHost}. {@link ClientConnectionState} decides how the connection ends; this class carries that
 * out.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientLink {
    /** With more unflushed bytes the client reads far more slowly than it sends requests. */
    private static final long MAX_UNFLUSHED_BYTES = 256 * 1024;
    /** Time without a completed write, while the write buffer is full, after which the client counts as not reading. */
    private static final double WRITE_STALL_TIMEOUT_MS = 1000;
    /** Clients send a request at once on a new connection; the request may take this long to arrive. */
    private static final double MAX_REQUEST_TRANSIT_MS = 300;

    /** Read from a connection in one iteration of the event loop, at most, so that all connections get their turn. */
    private static final int READ_BYTES = 16 * 1024;

    private static final int READS_PER_ITERATION = 1;

    private final ClientListener listener;
    private final SessionHost host;
    private final boolean retryAfterAllowed;
    private final MessageDecoder decoder = new MessageDecoder();
    private final ClientConnectionState state = new ClientConnectionState();
    private final AbuseLimiter abuseLimiter = new AbuseLimiter();
    private final Set<Long> openRequests = new LinkedHashSet<>();
    private final UnstartedRequests unstarted;
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final ChannelFutureListener flushListener = future -> onFlushed();
    private final double acceptedAt = Clock.monotonicMs();
    private double lastUsefulAt = acceptedAt;
    private double lastFlushAt = acceptedAt;
    private double partialMessageSince = Double.NaN;
    private long messagesReceived;
    private int establishedSessions;
    private ClientActivity activity = ClientActivity.NOTHING_USEFUL;

    /** True when the last read filled its buffer: the socket may hold more input. */
    private boolean moreInput;

    private long reads;

    private boolean anyWritten;
    /** True while the channel is reading; the next step of closing the connection waits until the read is complete. */
    private boolean readInProgress;
    /** True while a loop iteration is awaited that reads pending input before the connection may end. */
    private boolean readScheduled;
    /** True while the next step is decided right after pending input was read. */
    private boolean inputRead;

    private int discardedRequests;
    private SocketChannel channel;

    ClientConnection(ClientListener listener, SessionHost host, boolean retryAfterAllowed) {
        this.listener = listener;
        unstarted = new UnstartedRequests(listener.unstartedBytes());
        this.host = host;
        this.retryAfterAllowed = retryAfterAllowed;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = (SocketChannel) ctx.channel();
        channel.config()
                .setRecvByteBufAllocator(
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_PER_ITERATION));
    }

    // ---- Input

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object buffer) {
        ByteBuf in = (ByteBuf) buffer;
        readInProgress = true;
        moreInput = in.readableBytes() >= READ_BYTES;
        reads++;
        try {
            if (state.phase() == Phase.CLOSING) {
                state.onDiscarded(in.readableBytes());
            }
            if (state.readable()) {
                decoder.feed(in, this::handleMessage);
                partialMessageSince = partialMessageStart();
            }
        } catch (MalformedFrameException e) {
            decoder.release();
            startDrain(CloseReason.UNREADABLE);
        } finally {
            in.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        readInProgress = false;
        startDueRequests();
        if (unstarted.size() > 0) {
            long readsBefore = reads;
            listener.runAfterReading(() -> onNextIteration(readsBefore));
        }
        runNextStep();
    }

    /** Starts the requests that wait for unread input if an iteration of the loop has found none. */
    private void onNextIteration(long readsBefore) {
        if (reads == readsBefore) {
            moreInput = false;
            startDueRequests();
        }
    }

    private double partialMessageStart() {
        if (!decoder.hasPartialMessage()) {
            return Double.NaN;
        }
        return Double.isNaN(partialMessageSince) ? Clock.monotonicMs() : partialMessageSince;
    }

    /** Handles one message; returns false when the connection can read no further message. */
    private boolean handleMessage(Message message) {
        listener.traceReceived(this, message);
        messagesReceived++;
        partialMessageSince = Double.NaN;
        boolean useful =
                switch (message.type()) {
                    case SET_UP -> handleSetUp(message);
                    case RELEASE -> handleRelease(message);
                    case RELEASE_ACKNOWLEDGED ->
                        handleViewerMessage(message, host.onReleaseAcknowledged(message.session()));
                    case TEST -> answerTest(message);
                    default -> chargeMessage(message, false);
                };
        if (useful) {
            lastUsefulAt = Clock.monotonicMs();
        }
        return state.readable();
    }

    private boolean handleRelease(Message message) {
        if (!unstarted.remove(message.session())) {
            return handleViewerMessage(message, host.onClientRelease(message.session()));
        }
        // A set-up that is withdrawn at once costs as much to read as one that is rejected.
        chargeAnsweredMessage();
        return true;
    }

    private void chargeAnsweredMessage() {
        if (abuseLimiter.chargeRejectedSetUp(Clock.monotonicMs())) {
            startDrain(CloseReason.ABUSE);
        }
    }

    /** Charges a message other than a set-up to the abuse limiter; returns {@code useful} unchanged. */
    private boolean chargeMessage(Message message, boolean useful) {
        if (abuseLimiter.chargeMessage(Clock.monotonicMs(), message.size())) {
            startDrain(CloseReason.ABUSE);
        }
        return useful;
    }

    /** Handles a message about a session; {@code known} says whether the session is known, and is returned. */
    private boolean handleViewerMessage(Message message, boolean known) {
        if (known) {
            raiseActivity(ClientActivity.REQUESTED);
        }
        return chargeMessage(message, known);
    }

    /** Records useful input. Releases may be pending for a connection that leads to viewers. */
    private void raiseActivity(ClientActivity reached) {
        boolean ledToViewers = activity.leadsToViewers();
        if (reached.compareTo(activity) > 0) {
            activity = reached;
        }
        if (activity.leadsToViewers() && !ledToViewers) {
            listener.onViewersFound(this);
        }
    }

    private boolean answerTest(Message message) {
        raiseActivity(ClientActivity.TESTED);
        boolean sent = send(new Message(MessageType.TEST_RESULT, message.session()).withCause(1));
        // The platform tests now and then; a flood of tests costs as much as one of rejected set-ups.
        chargeAnsweredMessage();
        return sent;
    }

    /** Handles a set-up; returns true when it was useful. */
    private boolean handleSetUp(Message message) {
        SetUp setUp;
        try {
            setUp = SetUp.of(message);
        } catch (InvalidFieldException e) {
            return rejectSetUp(message.session(), e.releaseCause(), e.getMessage());
        }
        boolean established = setUp.attributes().currentServer() != null;
        if (unstarted.contains(setUp.session())) {
            return ignoreSetUp(setUp.session(), "repeats a set-up of this connection");
        }
        if (host.hasSession(setUp.session())) {
            return established || handleReusedId(setUp.session());
        }
        if (!established && recentAnswers.crossesAnswer(Clock.monotonicMs(), setUp.session())) {
            return ignoreSetUp(setUp.session(), "crossed the answer to an earlier request with this id");
        }
        if (!host.isAllowed(setUp)) {
            return rejectSetUp(
                    setUp.session(), Cause.INVALID_CONTENTS, "class, cell, copies or rung is not in the settings");
        }
        if (state.requestHandling() != ClientConnectionState.RequestHandling.SERVE) {
            return established || refuseWhileDraining(setUp.session());
        }
        if (established) {
            raiseActivity(ClientActivity.SERVED);
            return host.takeOver(setUp, this)
                    || rejectSetUp(setUp.session(), Cause.TEMPORARY_FAILURE, "more sessions than the servers can hold");
        }
        raiseActivity(ClientActivity.REQUESTED);
        return acceptRequest(setUp);
    }

    /** Accepts a request, which is started once the input behind it is read. */
    private boolean acceptRequest(SetUp setUp) {
        double remainingMs = listener.remainingMs(setUp.waitMs());
        if (!unstarted.add(new UnstartedRequests.Request(setUp, Clock.monotonicMs(), remainingMs))) {
            return rejectSetUp(setUp.session(), Cause.CONGESTION, "too many requests at once on one connection");
        }
        return true;
    }

    /** Starts the requests behind which no input is unread, and those that have waited for long. */
    private void startDueRequests() {
        double now = Clock.monotonicMs();
        for (UnstartedRequests.Request request : unstarted.takeDue(now, !moreInput)) {
            startRequest(request.setUp(), request.remainingMs() - (now - request.readAt()));
        }
    }

    private void startRequest(SetUp setUp, double remainingMs) {
        long session = setUp.session();
        if (state.requestHandling() != ClientConnectionState.RequestHandling.SERVE) {
            refuseWhileDraining(session);
        } else if (host.hasSession(session)) {
            handleReusedId(session);
        } else if (host.takeEarlyRelease(session)) {
            rejectSetUp(session, Cause.TEMPORARY_FAILURE, "the viewer released the session before its set-up was read");
        } else if (remainingMs < 1) {
            // The viewer may have given the request up while it waited in the socket; it was never forwarded.
            listener.traceRejected(this, session, "the viewer's wait time has expired");
            writeRelease(session, Cause.CONGESTION, 0);
        } else {
            openRequests.add(session);
            host.setUp(setUp, this, remainingMs);
        }
    }

    /** Refuses a request that arrives while the connection drains. The request never ran, so a retry is safe. */
    private boolean refuseWhileDraining(long session) {
        listener.traceRejected(this, session, "connection is " + state.phase() + " because of " + state.reason());
        if (state.requestHandling() == ClientConnectionState.RequestHandling.DISCARD) {
            discardedRequests++;
            return false;
        }
        return writeRelease(session, Cause.CONGESTION, 0);
    }

    /** Releases an invalid set-up with the given cause. */
    private boolean rejectSetUp(long session, int cause, String reason) {
        listener.traceRejected(this, session, reason);
        writeRelease(session, cause, 0);
        chargeAnsweredMessage();
        return false;
    }

    /**
     * Handles a set-up whose session id is in use. On the connection of the existing session the set-up is ignored,
     * since the client would take any reply with this id for the answer or the end of that session. On any other
     * connection it is rejected.
     */
    private boolean handleReusedId(long session) {
        if (!host.hasSessionOn(session, this)) {
            return rejectSetUp(session, Cause.INVALID_REFERENCE, "session id is in use on another connection");
        }
        return ignoreSetUp(session, "repeats a set-up of this connection");
    }

    private boolean ignoreSetUp(long session, String reason) {
        listener.traceRejected(this, session, reason);
        chargeAnsweredMessage();
        return false;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onEnded(CloseReason.PEER_CLOSED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            listener.logFault(this, cause);
        }
        onEnded(CloseReason.CONNECTION_FAILED);
        ctx.close();
    }

    // ---- Output

    @Override
    public boolean isWritable() {
        return state.writable() && channel.isActive() && channel.isWritable();
    }

    @Override
    public void sendAnswer(long session, byte[] description) {
        openRequests.remove(session);
        send(new Message(MessageType.ANSWER, session).with(Parameter.DESCRIPTION, description));
        raiseActivity(ClientActivity.SERVED);
        runNextStep();
    }

    @Override
    public void requestWithdrawn(long session) {
        openRequests.remove(session);
        runNextStep();
    }

    @Override
    public void sendRelease(long session, ReleaseReason reason, double retryAfterMs) {
        openRequests.remove(session);
        writeRelease(
                session,
                switch (reason) {
                    case REFUSED -> Cause.CONGESTION;
                    case FAILED, CUT -> Cause.TEMPORARY_FAILURE;
                    case OVER -> Cause.NORMAL_CLEARING;
                },
                reason == ReleaseReason.REFUSED ? retryAfterMs : 0);
        runNextStep();
    }

    @Override
    public void establishedSessionsChanged(boolean added) {
        establishedSessions += added ? 1 : -1;
    }

    @Override
    public void sendMove(long session) {
        send(new Message(MessageType.MOVE, session));
    }

    private boolean writeRelease(long session, int cause, double retryAfterMs) {
        listener.traceRelease(this, session, cause);
        recentAnswers.recordAnswer(Clock.monotonicMs(), session);
        Message message = new Message(MessageType.RELEASE, session).withCause(cause);
        if (retryAfterAllowed && retryAfterMs >= 1) {
            message.with(Parameter.RETRY_AFTER, Long.toString(Math.round(retryAfterMs)));
        }
        return send(message);
    }

    private boolean send(Message message) {
        if (!state.writable() || !channel.isActive()) {
            return false;
        }
        if (unflushedBytes() > MAX_UNFLUSHED_BYTES) {
            close(CloseReason.OUTPUT_STALLED);
            return false;
        }
        anyWritten = true;
        ByteBuf out = channel.alloc().heapBuffer(message.size());
        message.write(out);
        channel.writeAndFlush(out).addListener(flushListener);
        return true;
    }

    private void onFlushed() {
        lastFlushAt = Clock.monotonicMs();
        runNextStep();
    }

    private long unflushedBytes() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes();
    }

    /** True while sent bytes wait in buffers of this process. */
    boolean hasUnflushed() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out != null && !out.isEmpty();
    }

    // ---- Closing

    /** Returns the view of this connection by which a connection is chosen for eviction. */
    ConnectionEviction.Candidate evictionCandidate(double now) {
        return new ConnectionEviction.Candidate(pendingRequests(), establishedSessions, activity, now - lastUsefulAt);
    }

    /** Returns the view of this connection by which connections are chosen for releases. */
    ReleaseRoutes.Route releaseRoute() {
        return new ReleaseRoutes.Route(activity, isWritable(), lastUsefulAt);
    }

    private int pendingRequests() {
        return openRequests.size() + unstarted.size();
    }

    Phase phase() {
        return state.phase();
    }

    /** Starts to drain the connection when one of its timeouts has expired, and continues a drain that has started. */
    void onTick(double now) {
        startDueRequests();
        if (state.phase() == Phase.OPEN) {
            ConnectionTimeouts.expiryReason(new ConnectionTimeouts.View(
                            now - acceptedAt,
                            now - lastUsefulAt,
                            pendingRequests(),
                            establishedSessions,
                            activity != ClientActivity.NOTHING_USEFUL,
                            partialMessageMs(now)))
                    .ifPresent(this::startDrain);
        }
        if (state.writable() && !channel.isWritable() && now - lastFlushAt >= WRITE_STALL_TIMEOUT_MS) {
            close(CloseReason.OUTPUT_STALLED);
        }
        runNextStep();
    }

    private double partialMessageMs(double now) {
        return Double.isNaN(partialMessageSince) ? 0 : Math.max(Double.MIN_VALUE, now - partialMessageSince);
    }

    /** Starts to drain the connection. The reason determines how long open requests may wait for their answers. */
    void startDrain(CloseReason reason) {
        state.startDrain(Clock.monotonicMs(), reason);
        if (reason == CloseReason.EVICTED) {
            // The file descriptor is needed at once, so the connection leaves the budget before the client closes it.
            listener.onClosing(this);
        }
        runNextStep();
    }

    /** Starts to drain the connection because the node shuts down; open requests are failed after {@code drainMs}. */
    void shutDown(double drainMs) {
        state.startDrain(Clock.monotonicMs(), CloseReason.SHUTDOWN, drainMs);
        runNextStep();
    }

    /** Carries out the next step of closing the connection, unless the connection is open or a read is in progress. */
    private void runNextStep() {
        if (readInProgress || state.phase() == Phase.OPEN) {
            return;
        }
        double now = Clock.monotonicMs();
        switch (state.nextStep(now, view(now))) {
            case FAIL_OPEN_REQUESTS -> host.failOpenRequests(List.copyOf(openRequests));
            case READ_INPUT -> readPendingInput();
            case SHUT_DOWN_OUTPUT -> {
                listener.onClosing(this);
                channel.shutdownOutput();
            }
            case CLOSE -> close(state.reason());
            default -> {}
        }
    }

    private void readPendingInput() {
        if (readScheduled) {
            return;
        }
        readScheduled = true;
        listener.runAfterReading(() -> {
            readScheduled = false;
            inputRead = true;
            runNextStep();
            inputRead = false;
        });
    }

    private ClientConnectionState.View view(double now) {
        boolean partial = partialMessageMs(now) > 0 && partialMessageMs(now) < MAX_REQUEST_TRANSIT_MS;
        boolean firstRequestExpected = messagesReceived == 0 && now - acceptedAt < MAX_REQUEST_TRANSIT_MS;
        return new ClientConnectionState.View(
                pendingRequests(),
                activity.leadsToViewers() && host.hasPendingReleases(),
                hasUnflushed(),
                partial || firstRequestExpected,
                anyWritten,
                inputRead);
    }

    /** Closes the socket of a connection that is already closing, without waiting for the client. */
    void closeNow() {
        close(state.reason());
    }

    /** Closes the socket and withdraws the requests that are still open on the connection. */
    private void close(CloseReason reason) {
        onEnded(reason);
        channel.close();
    }

    private void onEnded(CloseReason reason) {
        if (state.phase() == Phase.CLOSED) {
            return;
        }
        state.onClosed(reason);
        listener.onClosed(new ClosedConnection(
                toString(),
                state.reason(),
                reason,
                openRequests.size(),
                discardedRequests,
                messagesReceived,
                Clock.monotonicMs() - acceptedAt));
        decoder.release();
        host.onClientConnectionEnded(new ArrayList<>(openRequests));
        openRequests.clear();
        unstarted.clear();
    }

    @Override
    public String toString() {
        return channel == null ? "" : channel.id().asShortText();
    }
}
