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
 * Plays some hundred sessions through the codec, the host and a module of its own before the node takes
 * viewers, in virtual time and without a socket. A cold runtime needs tens of milliseconds for a set-up,
 * and at a start all viewers come at once: what would be lost then is many times what the start is longer.
 */
final class WarmUp {
    private static final double GAP_MS = 4;
    private static final double ANSWER_MS = 60;
    private static final double LASTS_MS = 1500;

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final NodeConfig config;
    private final SessionHost host;
    private final Sink viewer = new Sink();
    private int asked;

    private WarmUp(NodeConfig config) {
        this.config = config;
        host = new SessionHost(
                config.settings(),
                time,
                EventSink.none(),
                EventSink.none(),
                new Far(),
                () -> viewer,
                actions -> new Control(config.settings(), config.seed(), actions));
    }

    /** Plays so many sessions, for so long at most; returns how many it came to. */
    static int run(NodeConfig config, int sessions, double mostMs) {
        WarmUp warmUp = new WarmUp(config);
        return config.settings().classes().isEmpty() ? 0 : warmUp.play(sessions, mostMs);
    }

    private int play(int sessions, double mostMs) {
        long until = System.nanoTime() + (long) (mostMs * 1e6);
        host.start();
        for (ServerListUpdate event : config.known()) {
            List<Server> list = new ArrayList<>();
            event.members().forEach(member -> list.add(member.server()));
            host.updateServers(event.whole() ? ListKind.KEPT : ListKind.CHANGES, list);
        }
        for (int i = 0; i < sessions; i++) {
            int number = i;
            time.schedule(i * GAP_MS, () -> ask(number));
        }
        while (asked < sessions && time.now() < sessions * GAP_MS && System.nanoTime() < until) {
            time.runUntil(time.now() + GAP_MS);
        }
        return asked;
    }

    private void ask(int number) {
        List<ServiceClass> classes = config.settings().classes();
        String text = "home:" + number % config.settings().cells() + ";copies:"
                + Math.min(3, config.settings().cells()) + ";top:"
                + (config.settings().rungKb().size() - 1) + ";viewer:"
                + HexFormat.of().toHexDigits((long) number);
        Message message = through(new Message(MessageType.SET_UP, number + 1L)
                .with(Parameter.CLASS, classes.get(number % classes.size()).name())
                .with(Parameter.WAIT, "1000")
                .with(Parameter.TITLE, HexFormat.of().toHexDigits(number % 50L))
                .with(Parameter.ATTRIBUTES, text)
                .with(Parameter.DESCRIPTION, "warm".getBytes(StandardCharsets.US_ASCII)));
        try {
            SetUp setUp = SetUp.of(message);
            if (host.isAllowed(setUp)) {
                host.setUp(setUp, viewer, setUp.waitMs());
                asked++;
            }
        } catch (InvalidFieldException fault) {
            throw new IllegalStateException("the warm-up's own set-up", fault);
        }
    }

    /** A message as the other side of a connection reads it. */
    private static Message through(Message message) {
        ByteBuf wire = Unpooled.buffer(message.size());
        message.write(wire);
        ArrayDeque<Message> read = new ArrayDeque<>();
        new MessageDecoder().feed(wire, read::add);
        wire.release();
        return read.poll();
    }

    /** Servers that answer all but a few, tell of themselves, and end sessions after a while. */
    private final class Far implements ServerSide {
        @Override
        public void setUp(Attempt attempt) {
            Message message = through(new Message(MessageType.SET_UP, attempt.session())
                    .with(Parameter.DESCRIPTION, attempt.setUp().description()));
            time.schedule(ANSWER_MS, () -> {
                if (attempt.session() % 40 == 0) {
                    host.onAttemptEnded(attempt, Outcome.FULL, null);
                    return;
                }
                host.onAnswer(attempt, message.get(Parameter.DESCRIPTION));
                host.onNote(attempt.server(), attempt.session(), NoteKind.LINK_USE, 0.5);
                host.onNote(attempt.server(), attempt.session(), NoteKind.UPLINK_USE, 0.6);
                time.schedule(
                        LASTS_MS, () -> host.onSessionEnded(attempt.server(), attempt.session(), Outcome.OK, null));
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

    private static final class Sink implements ClientLink {
        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void sendAnswer(long session, byte[] description) {
            through(new Message(MessageType.ANSWER, session).with(Parameter.DESCRIPTION, description));
        }

        @Override
        public void requestWithdrawn(long session) {}

        @Override
        public void sendRelease(long session, ReleaseReason end, double stayAwayMs) {
            through(new Message(MessageType.RELEASE, session).withCause(16));
        }

        @Override
        public void establishedSessionsChanged(boolean more) {}

        @Override
        public void sendMove(long session) {}
    }
}
