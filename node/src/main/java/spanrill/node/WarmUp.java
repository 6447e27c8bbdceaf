package spanrill.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import spanrill.Control;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServiceClass;
import spanrill.node.config.NodeConfig;
import spanrill.node.config.ServerListUpdate;
import spanrill.node.session.Attempt;
import spanrill.node.session.ClientLink;
import spanrill.node.session.ReleaseReason;
import spanrill.node.session.ServerSide;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.session.VirtualTimeScheduler;
import spanrill.wire.platform.InvalidFieldException;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;
import spanrill.wire.platform.SetUp;

/**
 * Runs simulated sessions through the codec, the session host and a separate instance of the module before the
 * node accepts viewers, in virtual time and without sockets. On a cold runtime a set-up takes tens of milliseconds,
 * and after a start all viewers connect at once: the requests lost then would cost far more than the longer start.
 */
final class WarmUp {
    private static final double ARRIVAL_INTERVAL_MS = 4;
    private static final double ANSWER_DELAY_MS = 60;
    private static final double SESSION_LENGTH_MS = 1500;

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final NodeConfig config;
    private final SessionHost host;
    private final DiscardingClientLink clientLink = new DiscardingClientLink();
    private int requestedSessions;

    private WarmUp(NodeConfig config) {
        this.config = config;
        host = new SessionHost(
                config.settings(),
                scheduler,
                EventSink.none(),
                EventSink.none(),
                new SimulatedServers(),
                () -> List.of(clientLink),
                actions -> new Control(config.settings(), config.seed(), actions));
    }

    /**
     * Runs up to {@code sessions} sessions for at most {@code maxMs} of wall-clock time; returns how many were
     * requested.
     */
    static int run(NodeConfig config, int sessions, double maxMs) {
        WarmUp warmUp = new WarmUp(config);
        return config.settings().classes().isEmpty() ? 0 : warmUp.runSessions(sessions, maxMs);
    }

    private int runSessions(int sessions, double maxMs) {
        long deadlineNs = System.nanoTime() + (long) (maxMs * 1e6);
        host.start();
        for (ServerListUpdate update : config.knownUpdates()) {
            List<Server> servers = new ArrayList<>();
            update.members().forEach(member -> servers.add(member.server()));
            host.updateServers(update.complete() ? ListKind.KEPT : ListKind.CHANGES, servers);
        }
        for (int i = 0; i < sessions; i++) {
            int sequence = i;
            scheduler.schedule(i * ARRIVAL_INTERVAL_MS, () -> requestSession(sequence));
        }
        while (requestedSessions < sessions
                && scheduler.now() < sessions * ARRIVAL_INTERVAL_MS
                && System.nanoTime() < deadlineNs) {
            scheduler.runUntil(scheduler.now() + ARRIVAL_INTERVAL_MS);
        }
        return requestedSessions;
    }

    private void requestSession(int sequence) {
        List<ServiceClass> classes = config.settings().classes();
        String attributes = "home:" + sequence % config.settings().cells() + ";copies:"
                + Math.min(3, config.settings().cells()) + ";top:"
                + (config.settings().rungKb().size() - 1) + ";viewer:"
                + HexFormat.of().toHexDigits((long) sequence);
        Message message = encodeAndDecode(new Message(MessageType.SET_UP, sequence + 1L)
                .with(Parameter.CLASS, classes.get(sequence % classes.size()).name())
                .with(Parameter.WAIT, "1000")
                .with(Parameter.TITLE, HexFormat.of().toHexDigits(sequence % 50L))
                .with(Parameter.ATTRIBUTES, attributes)
                .with(Parameter.DESCRIPTION, "warm".getBytes(StandardCharsets.US_ASCII)));
        try {
            SetUp setUp = SetUp.of(message);
            if (host.isAllowed(setUp)) {
                host.setUp(setUp, clientLink, setUp.waitMs());
                requestedSessions++;
            }
        } catch (InvalidFieldException e) {
            throw new IllegalStateException("warm-up built an invalid set-up", e);
        }
    }

    /** Encodes and decodes a message, as if it crossed a connection. */
    private static Message encodeAndDecode(Message message) {
        ByteBuf buffer = Unpooled.buffer(message.size());
        message.write(buffer);
        ArrayDeque<Message> decoded = new ArrayDeque<>();
        new MessageDecoder().feed(buffer, decoded::add);
        buffer.release();
        return decoded.poll();
    }

    /**
     * Simulated servers: they refuse one set-up in 40 as full, answer the others with two notes, and end each session.
     */
    private final class SimulatedServers implements ServerSide {
        @Override
        public void setUp(Attempt attempt) {
            Message message = encodeAndDecode(new Message(MessageType.SET_UP, attempt.session())
                    .with(Parameter.DESCRIPTION, attempt.setUp().description()));
            scheduler.schedule(ANSWER_DELAY_MS, () -> {
                if (attempt.session() % 40 == 0) {
                    host.onAttemptEnded(attempt, Outcome.FULL, null);
                    return;
                }
                host.onAnswer(attempt, message.get(Parameter.DESCRIPTION));
                host.onNote(attempt.server(), attempt.session(), NoteKind.LINK_USE, 0.5);
                host.onNote(attempt.server(), attempt.session(), NoteKind.UPLINK_USE, 0.6);
                scheduler.schedule(
                        SESSION_LENGTH_MS,
                        () -> host.onSessionEnded(attempt.server(), attempt.session(), Outcome.OK, null));
            });
        }

        @Override
        public boolean giveUp(Attempt attempt) {
            return false;
        }

        @Override
        public void release(String server, long session) {}

        @Override
        public void setRung(String server, long session, int rung) {}

        @Override
        public void setEstablishedSessions(String server, int sessions) {}
    }

    /** A client connection that encodes what the node sends and discards the result. */
    private static final class DiscardingClientLink implements ClientLink {
        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void sendAnswer(long session, byte[] description) {
            encodeAndDecode(new Message(MessageType.ANSWER, session).with(Parameter.DESCRIPTION, description));
        }

        @Override
        public void requestWithdrawn(long session) {}

        @Override
        public void sendRelease(long session, ReleaseReason reason, double retryAfterMs) {
            encodeAndDecode(new Message(MessageType.RELEASE, session).withCause(16));
        }

        @Override
        public void establishedSessionsChanged(boolean added) {}

        @Override
        public void sendMove(long session) {}
    }
}
