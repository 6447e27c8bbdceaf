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

/** A scripted server: answers set-ups well or badly, ends sessions, and else follows the protocol page. */
final class ServerStandIn {
    /** How it behaves as a whole. */
    enum Mode {
        /** Each set-up is treated as the trial's habits say. */
        SERVES,
        /** Set-ups arrive and are not answered. */
        HANGS,
        /** Nothing arrives and nothing is sent. */
        SILENT,
        /** Its process has died. */
        DEAD
    }

    private static final double ANSWER_LEAST_MS = 1;
    private static final double ANSWER_MOST_MS = 30;
    private static final double SESSION_LEAST_MS = 200;
    private static final double SESSION_MOST_MS = 2500;
    private static final double ENDED_BY_SERVER = 0.6;
    private static final double TWICE_AFTER_MS = 3;
    private static final byte[] NOISE = {0, 1, 9, 9, 9, 9};

    private final String id;
    private final EventLog log;
    private final Trial.ServerHabits habits;
    private final double idleMs;
    private final SplittableRandom random;
    private final Timers timers;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Long, Connection> standing = new HashMap<>();
    private final Map<Integer, Set<Long>> untold = new HashMap<>();
    private Mode mode = Mode.SERVES;

    ServerStandIn(String id, Trial trial, EventLog log, SplittableRandom random, Timers timers) {
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

    void mode(Mode to) {
        if (mode != Mode.DEAD) {
            mode = to;
        }
    }

    ChannelHandler accept(int node) {
        return new Connection(node);
    }

    /** Resets its connections; its process lives on, with its sessions. */
    void resetConnections() {
        for (Connection connection : List.copyOf(connections)) {
            connection.lose();
        }
    }

    /** Dies: connections are reset, sessions are cut. */
    void die() {
        mode = Mode.DEAD;
        standing.clear();
        log.add(EventKind.SERVER_LOST, -1, id, 0);
        resetConnections();
    }

    private void end(long session) {
        Connection own = standing.get(session);
        if (own == null || mode == Mode.SILENT) {
            return;
        }
        standing.remove(session);
        Connection on = connections.contains(own)
                ? own
                : connections.stream()
                        .filter(c -> c.node == own.node)
                        .findFirst()
                        .orElse(null);
        untold.computeIfAbsent(own.node, n -> new LinkedHashSet<>()).add(session);
        if (on == null) {
            return;
        }
        log.add(EventKind.SERVER_ENDED, own.node, id, session, 0, Cause.NORMAL_CLEARING);
        on.send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_CLEARING));
    }

    /** One connection of a node. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final int node;
        private final MessageDecoder decoder = new MessageDecoder();
        private final Set<Long> attempts = new HashSet<>();
        private Channel channel;
        private PacedWriter writer;
        private double usedAt;
        private boolean spoilt;

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
            usedAt = log.now();
            Set<Long> ended = untold.remove(node);
            if (ended != null && mode != Mode.SILENT) {
                for (long session : ended) {
                    log.add(EventKind.SERVER_ENDED, node, id, session, 0, Cause.NORMAL_CLEARING);
                    send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_CLEARING));
                }
            }
            closeWhenIdle();
        }

        private void closeWhenIdle() {
            timers.after(idleMs, () -> {
                if (channel.isOpen() && attempts.isEmpty() && log.now() - usedAt >= idleMs) {
                    channel.close();
                } else if (channel.isOpen()) {
                    closeWhenIdle();
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object part) {
            ByteBuf in = (ByteBuf) part;
            try {
                if (mode != Mode.SILENT && mode != Mode.DEAD) {
                    usedAt = log.now();
                    decoder.feed(in, this::heard);
                }
            } catch (MalformedFrameException fault) {
                channel.close();
            } finally {
                in.release();
            }
        }

        private boolean heard(Message message) {
            switch (message.type()) {
                case SET_UP -> setUp(message);
                case RELEASE -> released(message.session());
                case TEST ->
                    send(new Message(MessageType.TEST_RESULT, message.session())
                            .withCause(1)
                            .with(Parameter.LOAD_REPORT, "inflight:" + attempts.size()));
                default -> {}
            }
            return channel.isOpen();
        }

        private void setUp(Message message) {
            long session = message.session();
            log.add(EventKind.SERVER_SET_UP, node, id, session, 0, 0);
            attempts.add(session);
            if (mode == Mode.HANGS) {
                return;
            }
            double latency = random.nextDouble(ANSWER_LEAST_MS, ANSWER_MOST_MS);
            double draw = random.nextDouble();
            timers.after(latency, () -> {
                if (attempts.contains(session) && channel.isOpen() && mode == Mode.SERVES) {
                    respond(session, draw);
                }
            });
        }

        /** Treats a set-up as the draw between 0 and 1 says. */
        private void respond(long session, double draw) {
            double left = draw;
            if ((left -= habits.full()) < 0) {
                finish(session, Cause.NO_CIRCUIT);
            } else if ((left -= habits.error()) < 0) {
                finish(session, Cause.RESOURCE_UNAVAILABLE);
            } else if ((left -= habits.reset()) < 0) {
                log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, Cause.TEMPORARY_FAILURE);
                lose();
            } else if ((left -= habits.never()) < 0) {
                return;
            } else if ((left -= habits.cut()) < 0) {
                cut(session);
            } else if ((left -= habits.spoilt()) < 0) {
                attempts.remove(session);
                spoilt = true;
                log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, Cause.TEMPORARY_FAILURE);
                writer.writeRaw(NOISE);
            } else {
                answerWell(session, left);
            }
        }

        /** Half an answer, then the end of the connection. */
        private void cut(long session) {
            log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, Cause.TEMPORARY_FAILURE);
            writer.writeRaw(new byte[] {0, 60, (byte) MessageType.ANSWER.code(), 0, 0, 0});
            drop(EventKind.SERVER_LOST);
            channel.close();
        }

        private void answerWell(long session, double draw) {
            Message answer = new Message(MessageType.ANSWER, session)
                    .with(Parameter.DESCRIPTION, (id + "/" + session).getBytes(StandardCharsets.UTF_8));
            boolean ahead = draw >= habits.twice() && draw < habits.twice() + habits.aheadUnknown();
            if (ahead) {
                send(new Message(MessageType.ANSWER, ~session).with(Parameter.DESCRIPTION, "ahead"));
            }
            attempts.remove(session);
            standing.put(session, this);
            log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, 0);
            writer.write(answer, random.nextDouble() < habits.inPieces(), f -> {});
            if (draw < habits.twice()) {
                timers.after(TWICE_AFTER_MS, () -> send(answer));
            }
            if (random.nextDouble() < ENDED_BY_SERVER) {
                timers.after(random.nextDouble(SESSION_LEAST_MS, SESSION_MOST_MS), () -> end(session));
            }
        }

        private void finish(long session, int cause) {
            attempts.remove(session);
            log.add(EventKind.SERVER_ANSWERED, node, id, session, 0, cause);
            send(new Message(MessageType.RELEASE, session).withCause(cause));
        }

        private void released(long session) {
            Set<Long> ended = untold.get(node);
            if (ended != null) {
                ended.remove(session);
            }
            if (attempts.remove(session)) {
                log.add(EventKind.SERVER_GIVEN_UP, node, id, session, 0, 0);
            } else if (standing.remove(session) != null) {
                log.add(EventKind.SERVER_TOLD_TO_END, node, id, session, 0, 0);
                send(new Message(MessageType.RELEASE, session).withCause(Cause.NORMAL_UNSPECIFIED));
            }
        }

        private void send(Message message) {
            if (channel.isActive() && !spoilt && mode != Mode.SILENT) {
                writer.write(message);
            }
        }

        void lose() {
            drop(EventKind.SERVER_LOST);
            Sockets.reset(channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            drop(EventKind.SERVER_GIVEN_UP);
        }

        private void drop(EventKind how) {
            connections.remove(this);
            decoder.release();
            new ArrayList<>(attempts).forEach(session -> log.add(how, node, id, session, 0, 0));
            attempts.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
