package spanrill.node.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import spanrill.SessionControl;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Request;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;
import spanrill.session.EventSink;
import spanrill.session.Scheduler;
import spanrill.session.Turns;
import spanrill.wire.platform.SetUp;

/**
 * Hosts the module: turns what viewers and servers send into its events, carries out its actions, and owns
 * the rules that it can't see: one answer to each request, one attempt out, releases owed to either side.
 *
 * <p>It decides nothing about where a session goes, its rung, moves or refusals.
 */
public final class SessionHost {
    // A final answer still missing this long after the viewer's time is given by the host.
    private static final double NET_MS = 3;
    // A moved session is ended by the platform at its server; if the server has not said so, it is released.
    private static final double MOVED_MS = 500;
    // Once due, an attempt is given up after one more round of the loop, which takes about so long.
    private static final double UNREAD_MS = 1;
    // A viewer that was moved counts as coming back from a move for this long.
    private static final double RETURN_MS = 30_000;
    // The rules give 8 s from the end of a session to its release.
    private static final double OWED_MS = 8000;
    private static final int MOST_OWED = 8192;
    // The list tells of a new server some seconds late.
    private static final double UNLISTED_MS = 6000;
    // A viewer says at once that it heard a release; 1 s is given from the server's release to the viewer's.
    private static final double HEARD_MS = 300;
    private static final int TRIES = 5;
    private static final double OWED_LOOK_MS = 100;
    private static final int MOST_MOVED = 8192;

    private final SessionControl.Settings settings;
    private final Map<String, Boolean> onceByClass = new HashMap<>();
    private final Scheduler scheduler;
    private final Turns turns;
    private final EventSink log;
    private final EventSink trace;
    private final ServerSide servers;
    private final Supplier<ViewerLink> anyLink;
    private final SessionControl control;
    private final Map<Long, NodeSession> sessions = new HashMap<>();
    private final Map<String, NodeSession> byName = new HashMap<>();
    private final Map<String, Set<NodeSession>> standing = new HashMap<>();
    private final OwedReleases owed = new OwedReleases(OWED_MS, HEARD_MS, TRIES, MOST_OWED);
    private final Set<String> listed = new HashSet<>();
    private boolean looking;
    private final Map<Long, NodeSession> moving = new HashMap<>();
    private final LinkedHashMap<String, Double> moved = new LinkedHashMap<>();
    private final Counts counts = new Counts();

    /** What has been counted since the start. */
    public static final class Counts {
        /**
         * Requests taken, answered "plays", refused, failed, given up by viewers, and ended after an
         * answer.
         */
        public long taken, played, refused, failed, left, ended;
    }

    /**
     * A host; {@code module} makes the module for its actions.
     *
     * @param trace takes what the module is told and asks for
     * @param anyLink a viewers' connection that can take a release, or null where there is none
     */
    public SessionHost(SessionControl.Settings settings, Scheduler scheduler, EventSink log, EventSink trace,
            ServerSide servers, Supplier<ViewerLink> anyLink, Function<SessionControl.Actions,
                    SessionControl> module) {
        this.settings = settings;
        this.scheduler = scheduler;
        this.log = log;
        this.trace = trace;
        this.servers = servers;
        this.anyLink = anyLink;
        turns = new Turns(scheduler, log);
        settings.classes().forEach(c -> onceByClass.put(c.name(), c.once()));
        control = module.apply(new Asked());
    }

    /** Starts the module. */
    public void start() {
        turns.tell(control::start);
    }

    /** A list of servers came. */
    public void servers(ListKind kind, List<Server> list) {
        if (kind == ListKind.WHOLE || kind == ListKind.KEPT) {
            listed.clear();
        }
        for (Server server : list) {
            if (server.state() == ServerState.GONE) {
                listed.remove(server.id());
            } else {
                listed.add(server.id());
            }
        }
        turns.tell(now -> control.servers(now, kind, list));
    }

    // ---- viewers

    /** True when the settings have such a class, cells, copies and a rung as this asks for. */
    public boolean possible(SetUp setUp) {
        return onceByClass.containsKey(setUp.className()) && setUp.figures().home() < settings.cells()
                && setUp.figures().copies() >= 1 && setUp.figures().copies() <= settings.cells()
                && setUp.figures().top() < settings.rungKb().size();
    }

    /** True while a session has this id. */
    public boolean knows(long id) {
        return sessions.containsKey(id);
    }

    /** The connection on which an open set-up with this id came, null where there is none. */
    public ViewerLink linkOf(long id) {
        NodeSession session = sessions.get(id);
        return session == null ? null : session.link;
    }

    /**
     * A possible set-up under a new id.
     *
     * @param leftMs time left until the viewer gives up
     */
    public void setUp(SetUp setUp, ViewerLink link, double leftMs) {
        NodeSession session = new NodeSession(setUp, link, onceByClass.get(setUp.className()));
        sessions.put(session.id(), session);
        byName.put(session.name(), session);
        counts.taken++;
        trace.info("request", "id", session.name(), "class", setUp.className(), "left", leftMs);
        session.deadline = turns.after(leftMs + NET_MS, now -> overdue(now, session));
        turns.tell(now -> {
            if (session.state().answerOwed()) {
                control.request(now, request(session, leftMs));
            }
        });
    }

    /** A session that plays at a server already. */
    public void standsAt(SetUp setUp, ViewerLink link) {
        NodeSession session = new NodeSession(setUp, link, onceByClass.get(setUp.className()));
        session.server = setUp.figures().at();
        trace.info("takenOver", "id", session.name(), "server", session.server);
        session.state().on(Event.SEND);
        session.state().on(Event.PLAYS);
        sessions.put(session.id(), session);
        byName.put(session.name(), session);
        Request request = request(session, setUp.waitMs());
        session.settled();
        stands(session);
        turns.tell(now -> control.takenOver(now, request, session.server));
        if (!listed.contains(session.server)) {
            turns.after(UNLISTED_MS, now -> unlisted(session));
        }
    }

    /** Guards against sessions said to play at servers that don't exist: they would stand for good. */
    private void unlisted(NodeSession session) {
        if (session.state().inPlay() && !listed.contains(session.server)) {
            over(session.server, session.id(), Outcome.RESET, null);
        }
    }

    private Request request(NodeSession session, double leftMs) {
        SetUp asked = session.setUp();
        Double left = moved.remove(session.viewer());
        boolean back = left != null && scheduler.now() - left < RETURN_MS;
        return new Request(session.name(), asked.className(), null, session.viewer(), asked.title(), leftMs,
                asked.figures().home(), asked.figures().copies(), asked.figures().top(), back,
                back || asked.figures().again());
    }

    /** A viewer gives a set-up up or ends its session; true when there was one. */
    public boolean released(long id) {
        NodeSession session = sessions.get(id);
        trace.info("viewerReleases", "id", HexFormat.of().toHexDigits(id), "known", session != null);
        if (session == null) {
            return false;
        }
        if (session.state().answerOwed()) {
            withdraw(session);
        } else {
            String server = session.server;
            over(session);
            servers.release(server, id);
            // A give-up may have crossed the answer: the viewer then holds a session that is over.
            tellOver(session, End.OVER);
            turns.tell(now -> control.gone(now, session.name()));
        }
        return true;
    }

    /** A viewers' connection ended: the set-ups open on it are given up. */
    public void linkEnded(List<Long> ids) {
        for (long id : ids) {
            NodeSession session = sessions.get(id);
            if (session != null && session.state().answerOwed()) {
                withdraw(session);
            }
        }
    }

    private void withdraw(NodeSession session) {
        counts.left++;
        session.state().on(Event.LEAVE);
        if (session.attempt != null) {
            servers.giveUp(session.attempt);
        }
        forget(session);
        turns.tell(now -> control.gone(now, session.name()));
    }

    /** A viewers' connection can take what is owed. */
    public void linkReady(ViewerLink link) {
        if (!owed.isEmpty()) {
            owed.due(scheduler.now()).forEach(one -> send(one, link));
        }
    }

    /** A viewer has heard the release of its session; true when that was owed. */
    public boolean heard(long id) {
        return owed.heard(id);
    }

    // ---- servers

    /** Whole milliseconds until an attempt is given up, 1 at least. */
    public long leftMs(Attempt attempt) {
        return Math.max(1, (long) (attempt.until() - scheduler.now()));
    }

    /** An attempt was answered: the session stands. */
    public void answered(Attempt attempt, byte[] description, Load load) {
        NodeSession session = attempt.owner();
        if (session.attempt != attempt) {
            return;
        }
        session.state().on(Event.PLAYS);
        session.server = attempt.server();
        counts.played++;
        double took = scheduler.now() - session.sentAt;
        trace.info("plays", "id", session.name(), "server", session.server, "took", took);
        // The answer goes out before anything else is done: the viewer's time runs.
        session.link.answer(session.id(), description);
        session.settled();
        stands(session);
        turns.tell(now -> control.playing(now, session.name(), session.server, took));
    }

    /** An attempt ended before its answer. */
    public void ended(Attempt attempt, Outcome outcome, Load load) {
        NodeSession session = attempt.owner();
        if (session.attempt != attempt) {
            return;
        }
        session.attemptOver();
        session.state().attemptEnded(outcome);
        trace.info("attemptEnded", "id", session.name(), "server", attempt.server(), "outcome", outcome,
                "load", load);
        turns.tell(now -> control.ended(now, session.name(), !session.state().answerOwed(), outcome,
                attempt.server(), load));
    }

    /** A session that stood has ended at its server. */
    public void over(String server, long id, Outcome outcome, Load load) {
        NodeSession session = sessions.get(id);
        trace.info("over", "id", HexFormat.of().toHexDigits(id), "server", server, "outcome", outcome,
                "known", session != null);
        moving.remove(id);
        if (session == null || !session.state().inPlay() || !server.equals(session.server)) {
            return;
        }
        over(session);
        if (outcome != Outcome.CANCELLED) {
            tellOver(session, outcome == Outcome.OK ? End.OVER : End.CUT);
        }
        turns.tell(now -> control.ended(now, session.name(), true, outcome, server, load));
    }

    /** A server is gone with all that stood there. */
    public void lost(String server) {
        List<NodeSession> all = new ArrayList<>(standing.getOrDefault(server, Set.of()));
        for (NodeSession session : all) {
            over(server, session.id(), Outcome.RESET, null);
        }
    }

    /** A server started anew at a time, ms on the scheduler's clock: what stood there before is gone. */
    public void restarted(String server, double startedAt) {
        for (NodeSession session : new ArrayList<>(standing.getOrDefault(server, Set.of()))) {
            if (session.standsSince < startedAt) {
                over(server, session.id(), Outcome.RESET, null);
            }
        }
    }

    /** A note about a session that stands. */
    public void note(String server, long id, NoteKind kind, double value) {
        NodeSession session = sessions.get(id);
        if (session != null && server.equals(session.server)) {
            if (kind == NoteKind.RUNG && !rungOfLadder(value)) {
                return;
            }
            trace.info("note", "server", server, "kind", kind, "value", value);
            turns.tell(now -> control.note(now, session.name(), server, kind, value));
        }
    }

    private boolean rungOfLadder(double value) {
        return value >= 0 && value < settings.rungKb().size() && value == Math.rint(value);
    }

    /** Sessions that stand at a server. */
    public int standingAt(String server) {
        return standing.getOrDefault(server, Set.of()).size();
    }

    /** Requests whose answer is owed. */
    public int open() {
        return (int) sessions.values().stream().filter(s -> s.state().answerOwed()).count();
    }

    /** Sessions held, open or standing. */
    public int size() {
        return sessions.size();
    }

    /** What has been counted. */
    public Counts counts() {
        return counts;
    }

    // ---- within

    private void stands(NodeSession session) {
        Set<NodeSession> there = standing.computeIfAbsent(session.server, s -> new LinkedHashSet<>());
        there.add(session);
        session.link.standing(true);
        session.standsSince = scheduler.now();
        servers.standing(session.server, there.size());
    }

    private void over(NodeSession session) {
        counts.ended++;
        session.state().on(Event.END);
        session.link.standing(false);
        forget(session);
        Set<NodeSession> there = standing.get(session.server);
        if (there != null && there.remove(session)) {
            if (there.isEmpty()) {
                standing.remove(session.server);
            }
            servers.standing(session.server, there.size());
        }
    }

    private void forget(NodeSession session) {
        session.settled();
        sessions.remove(session.id());
        byName.remove(session.name());
    }

    /** Tells a viewer, on whatever connection there is, that its session is over. */
    private void tellOver(NodeSession session, End end) {
        ViewerLink link = session.link.open() ? session.link : anyLink.get();
        trace.info("tellOver", "id", session.name(), "end", end, "own", session.link.open(), "link",
                link != null);
        OwedReleases.Owed one = owed.add(scheduler.now(), session.id(), end);
        if (link != null) {
            send(one, link);
        }
        lookLater();
    }

    private void send(OwedReleases.Owed one, ViewerLink link) {
        owed.sent(scheduler.now(), one);
        link.release(one.session(), one.end(), 0);
    }

    private void lookAtOwed() {
        ViewerLink link = anyLink.get();
        if (link != null) {
            owed.due(scheduler.now()).forEach(one -> send(one, link));
        }
        looking = false;
        lookLater();
    }

    /** One look at a time is due, however often what is owed comes and goes. */
    private void lookLater() {
        if (!looking && !owed.isEmpty()) {
            looking = true;
            turns.after(OWED_LOOK_MS, now -> lookAtOwed());
        }
    }

    /** The net under the module: an answer that it still owes is given, and an attempt that is out ends. */
    private void overdue(double now, NodeSession session) {
        if (!session.state().answerOwed()) {
            return;
        }
        log.info("answer.overdue", "session", session.name(), "phase", session.state().phase());
        if (session.attempt != null) {
            Attempt out = session.attempt;
            servers.giveUp(out);
            session.attemptOver();
            session.state().attemptEnded(Outcome.TIMEOUT);
        }
        answer(session, Event.FAIL, End.FAILED, 0);
        control.gone(now, session.name());
    }

    /**
     * A moved session of which the server said nothing: it may have ended before the move, with its server.
     * Its viewer is owed a release then, and the server one if it lives.
     */
    private void unmoved(NodeSession session, String server) {
        if (moving.remove(session.id()) != null) {
            servers.release(server, session.id());
            tellOver(session, End.CUT);
        }
    }

    private void answer(NodeSession session, Event event, End end, double stayAwayMs) {
        trace.info("answer", "id", session.name(), "end", end, "stayAway", stayAwayMs);
        session.state().on(event);
        forget(session);
        session.link.release(session.id(), end, stayAwayMs);
    }

    /** What the module asks for. */
    private final class Asked implements SessionControl.Actions {
        @Override
        public void send(String request, double until, String server) {
            NodeSession session = byName.get(request);
            if (session == null || !session.state().may(Event.SEND)) {
                log.info("send.impossible", "session", request, "server", server);
                return;
            }
            session.state().on(Event.SEND);
            session.sentAt = scheduler.now();
            trace.info("send", "id", request, "server", server, "rung", session.rung);
            Attempt attempt = new Attempt(session, server, until, session.rung);
            session.attempt = attempt;
            session.giveUp = turns.after(until - session.sentAt, now -> due(attempt));
            servers.setUp(attempt);
        }

        /** Due, but what came in time may lie unread: one more round of the loop reads it. */
        private void due(Attempt attempt) {
            if (attempt.owner().attempt == attempt) {
                attempt.owner().giveUp = turns.after(UNREAD_MS, now -> timeOut(attempt));
            }
        }

        private void timeOut(Attempt attempt) {
            if (attempt.owner().attempt == attempt) {
                // The give-up leaves before any further attempt of the session can.
                servers.giveUp(attempt);
                ended(attempt, Outcome.TIMEOUT, null);
            }
        }

        @Override
        public void rate(String request, int rung) {
            NodeSession session = byName.get(request);
            if (session == null) {
                return;
            }
            session.rung = rung;
            if (session.state().phase() == Phase.PLAYING || session.state().attemptOut()) {
                String server = session.attempt != null ? session.attempt.server() : session.server;
                servers.rung(server, session.id(), rung);
            }
        }

        @Override
        public void move(String request) {
            NodeSession session = byName.get(request);
            if (session == null || !session.state().inPlay()) {
                return;
            }
            String server = session.server;
            over(session);
            moving.put(session.id(), session);
            trace.info("move", "id", request, "server", server);
            while (moved.size() >= MOST_MOVED) {
                moved.remove(moved.keySet().iterator().next());
            }
            moved.put(session.viewer(), scheduler.now());
            ViewerLink link = session.link.open() ? session.link : anyLink.get();
            if (link != null) {
                link.move(session.id());
            }
            turns.after(link == null ? 0 : MOVED_MS, now -> unmoved(session, server));
            turns.tell(now -> control.ended(now, session.name(), true, Outcome.CANCELLED, server, null));
        }

        @Override
        public void refuse(String request, double retryAfterMs) {
            NodeSession session = byName.get(request);
            if (session == null || !session.state().answerOwed()) {
                return;
            }
            if (!session.state().may(Event.REFUSE)) {
                log.info("refuse.impossible", "session", request);
                fail(request);
                return;
            }
            counts.refused++;
            answer(session, Event.REFUSE, End.REFUSED, retryAfterMs);
        }

        @Override
        public void fail(String request) {
            NodeSession session = byName.get(request);
            if (session != null && session.state().may(Event.FAIL)) {
                counts.failed++;
                answer(session, Event.FAIL, End.FAILED, 0);
            }
        }

        @Override
        public void timer(String token, double delayMs) {
            turns.after(delayMs, now -> control.timer(now, token));
        }

        @Override
        public void log(String text) {
            log.info("module", "says", text);
        }
    }
}
