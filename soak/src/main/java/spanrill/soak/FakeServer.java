package spanrill.soak;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import spanrill.wire.platform.Cause;
import spanrill.wire.platform.MalformedFrameException;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** A scripted server. It answers set-ups correctly or incorrectly, ends sessions and otherwise keeps the protocol. */
final class FakeServer {
    /** State of the server as a whole. */
    enum Mode {
        /** Handles each set-up according to the trial's action probabilities. */
        SERVES,
        /** Receives set-ups and does not answer them. */
        HANGS,
        /** Receives and sends nothing. */
        SILENT,
        /** The process has died. */
        DEAD
    }

    private static final double MIN_ANSWER_DELAY_MS = 1;
    private static final double MAX_ANSWER_DELAY_MS = 30;
    private static final double MIN_SESSION_MS = 200;
    private static final double MAX_SESSION_MS = 2500;
    private static final double SESSION_ENDED_BY_SERVER_SHARE = 0.6;
    private static final double DUPLICATE_ANSWER_DELAY_MS = 3;
    private static final byte[] GARBAGE = {0, 1, 9, 9, 9, 9};

    private final String id;
    private final EventLog log;
    private final Trial.ServerHabits habits;
    private final double idleMs;
    private final SplittableRandom random;
    private final Timers timers;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Long, Connection> sessions = new HashMap<>();
    private final Map<Integer, Set<Long>> unacknowledgedEnds = new HashMap<>();
    private Mode mode = Mode.SERVES;

    FakeServer(String id, Trial trial, EventLog log, SplittableRandom random, Timers timers) {
        this.id = id;
        this.log = log;
        habits = trial.answers();
        idleMs = trial.idleMs();
        this.random = random;
        this.timers = timers;
    }

    String id() {
        return id;
    }

    void setMode(Mode newMode) {
        if (mode != Mode.DEAD) {
            mode = newMode;
        }
    }

    boolean isServing() {
        return mode == Mode.SERVES;
    }

    ChannelHandler newConnection(int node) {
        return new Connection(node);
    }

    /** Resets all connections; the process and its sessions continue. */
    void resetConnections() {
        for (Connection connection : List.copyOf(connections)) {
            connection.resetByServer();
        }
    }

    /** Ends the process: connections are reset and sessions are lost without a release. */
    void die() {
        mode = Mode.DEAD;
        sessions.clear();
        log.add(EventKind.SERVER_LOST, -1, id, 0);
        resetConnections();
    }

    /** The machine vanishes: its sessions are lost, and its connections stay open and silent. */
    void vanish() {
        mode = Mode.SILENT;
        sessions.clear();
        unacknowledgedEnds.clear();
        log.add(EventKind.SERVER_LOST, -1, id, 0);
    }

    /** The machine is back: old connections are reset, and a new process serves. */
    void startAgain() {
        resetConnections();
        mode = Mode.SERVES;
        log.add(EventKind.SERVER_STARTED, -1, id, 0);
    }

    /**
     * Ends a session and sends its release to the node. A release that the node does not acknowledge, or that cannot be
     * sent, is sent when the node opens its next connection.
     */
    private void endSession(long session) {
        Connection owner = sessions.get(session);
        if (owner == null || mode == Mode.SILENT) {
            return;
        }
        sessions.remove(session);
        Connection target = connections.contains(owner)
                ? owner
                : connections.stream()
                        .filter(c -> c.node == owner.node)
                        .findFirst()
                        .orElse(null);
        unacknowledgedEnds
                .computeIfAbsent(owner.node, n -> new LinkedHashSet<>())
                .add(session);
        if (target == null) {
            return;
        }
        log.add(EventKind.SERVER_ENDED, owner.node, id, session, 0, Cause.NORMAL_CLEARING);
        target.send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_CLEARING));
    }

    /** A connection of a node to the server. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final int node;
        private final MessageDecoder decoder = new MessageDecoder();
        private final Set<Long> attempts = new HashSet<>();
        private Channel channel;
        private PacedWriter writer;
        private double lastReceivedAtMs;
        private boolean garbageSent;

        Connection(int node) {
            this.node = node;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            writer = new PacedWriter(channel, random.split());
            if (mode == Mode.DEAD) {
                Sockets.reset(channel);
                return;
            }
            connections.add(this);
            lastReceivedAtMs = log.elapsedMs();
            Set<Long> endedSessions = unacknowledgedEnds.remove(node);
            if (endedSessions != null && mode != Mode.SILENT) {
                for (long session : endedSessions) {
                    log.add(EventKind.SERVER_ENDED, node, id, session, 0, Cause.NORMAL_CLEARING);
                    send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_CLEARING));
                }
            }
            closeWhenIdle();
        }

        private void closeWhenIdle() {
            timers.schedule(idleMs, () -> {
                if (channel.isOpen() && attempts.isEmpty() && log.elapsedMs() - lastReceivedAtMs >= idleMs) {
                    channel.close();
                } else if (channel.isOpen()) {
                    closeWhenIdle();
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) {
            ByteBuf in = (ByteBuf) data;
            try {
                if (mode == Mode.SILENT) {
                    decoder.feed(in, this::recordUnprocessed);
                } else if (mode != Mode.DEAD) {
                    lastReceivedAtMs = log.elapsedMs();
                    decoder.feed(in, this::handle);
                }
            } catch (MalformedFrameException fault) {
                channel.close();
            } finally {
                in.release();
            }
        }

        private boolean recordUnprocessed(Message message) {
            if (message.type() == MessageType.SET_UP) {
                log.add(EventKind.SERVER_BYTES, node, id, message.session(), 0, 0);
            }
            return true;
        }

        private boolean handle(Message message) {
            switch (message.type()) {
                case SET_UP -> handleSetUp(message);
                case RELEASE -> handleRelease(message.session());
                case TEST ->
                    send(new Message(MessageType.TEST_RESULT, message.session())
                            .withCause(1)
                            .with(Parameter.LOAD_REPORT, "inflight:" + attempts.size()));
                default -> {}
            }
            return channel.isOpen();
        }

        private void handleSetUp(Message message) {
            long session = message.session();
            log.add(EventKind.SERVER_SET_UP, node, id, session, 0, 0);
            attempts.add(session);
            if (mode == Mode.HANGS) {
                return;
            }
            double delayMs = random.nextDouble(MIN_ANSWER_DELAY_MS, MAX_ANSWER_DELAY_MS);
            double actionDraw = random.nextDouble();
            timers.schedule(delayMs, () -> {
                if (attempts.contains(session) && channel.isOpen() && mode == Mode.SERVES) {
                    respond(session, actionDraw);
                }
            });
        }

        /** Takes the action on a set-up that the draw between 0 and 1 selects. */
        private void respond(long session, double actionDraw) {
            double remaining = actionDraw;
            if ((remaining -= habits.full()) < 0) {
                sendRefusal(session, Cause.NO_CIRCUIT);
            } else if ((remaining -= habits.error()) < 0) {
                sendRefusal(session, Cause.RESOURCE_UNAVAILABLE);
            } else if ((remaining -= habits.reset()) < 0) {
                log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, Cause.TEMPORARY_FAILURE);
                resetByServer();
            } else if ((remaining -= habits.never()) < 0) {
                return;
            } else if ((remaining -= habits.cut()) < 0) {
                sendTruncatedAnswer(session);
            } else if ((remaining -= habits.spoilt()) < 0) {
                attempts.remove(session);
                garbageSent = true;
                log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, Cause.TEMPORARY_FAILURE);
                writer.writeRaw(GARBAGE);
            } else {
                sendAnswer(session, remaining);
            }
        }

        /** Writes the beginning of an answer and closes the connection. */
        private void sendTruncatedAnswer(long session) {
            log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, Cause.TEMPORARY_FAILURE);
            writer.writeRaw(new byte[] {0, 60, (byte) MessageType.ANSWER.code(), 0, 0, 0});
            removeConnection(EventKind.SERVER_LOST);
            channel.close();
        }

        private void sendAnswer(long session, double actionDraw) {
            Message answer = new Message(MessageType.ANSWER, session)
                    .with(Parameter.DESCRIPTION, (id + "/" + session).getBytes(StandardCharsets.UTF_8));
            boolean unknownFirst = actionDraw >= habits.twice() && actionDraw < habits.twice() + habits.aheadUnknown();
            if (unknownFirst) {
                send(new Message(MessageType.ANSWER, ~session).with(Parameter.DESCRIPTION, "ahead"));
            }
            attempts.remove(session);
            sessions.put(session, this);
            log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, 0);
            writer.write(answer, random.nextDouble() < habits.inPieces(), f -> {});
            if (actionDraw < habits.twice()) {
                timers.schedule(DUPLICATE_ANSWER_DELAY_MS, () -> send(answer));
            }
            if (random.nextDouble() < SESSION_ENDED_BY_SERVER_SHARE) {
                timers.schedule(random.nextDouble(MIN_SESSION_MS, MAX_SESSION_MS), () -> endSession(session));
            }
        }

        private void sendRefusal(long session, int cause) {
            attempts.remove(session);
            log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, cause);
            send(new Message(MessageType.RELEASE, session).withCause(cause));
        }

        private void handleRelease(long session) {
            Set<Long> endedSessions = unacknowledgedEnds.get(node);
            if (endedSessions != null) {
                endedSessions.remove(session);
            }
            if (attempts.remove(session)) {
                log.add(EventKind.SERVER_GIVEN_UP, node, id, session, 0, 0);
            } else if (sessions.remove(session) != null) {
                log.add(EventKind.SERVER_TOLD_TO_END, node, id, session, 0, 0);
                send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_UNSPECIFIED));
            }
        }

        private void send(Message message) {
            if (channel.isActive() && !garbageSent && mode != Mode.SILENT) {
                writer.write(message);
            }
        }

        void resetByServer() {
            removeConnection(EventKind.SERVER_LOST);
            Sockets.reset(channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            removeConnection(EventKind.SERVER_GIVEN_UP);
        }

        /** Removes the connection and records the end of each attempt on it. */
        private void removeConnection(EventKind attemptEnd) {
            connections.remove(this);
            decoder.release();
            new ArrayList<>(attempts).forEach(session -> log.add(attemptEnd, node, id, session, 0, 0));
            attempts.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
