package spanrill.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.NoteKind;
import spanrill.check.TraceEvent;
import spanrill.day.Day;
import spanrill.day.FleetPlan;
import spanrill.decisions.SessionEnd;
import spanrill.model.RandomStreams;
import spanrill.model.box.BoxParameters;
import spanrill.model.box.BoxProcess;
import spanrill.model.link.LinkNetwork;
import spanrill.session.BoxClient;

/** One replay box: whom it sets up is decided by {@link BoxProcess}, what its sessions get by the links. */
final class Box {
    private static final double TURNED_AWAY_AT = 1.2;
    private static final double IDLE_MS = 12_000;
    private static final double MOST_USE = 99;
    private static final double SHORT = 0.98;

    /** The connection of one exchange, as both ends see it. */
    static final class Wire {
        private boolean closed;
        private Runnable onClosed;

        /** The front's end closed it, or its process died. */
        void close() {
            if (!closed) {
                closed = true;
                if (onClosed != null) {
                    onClosed.run();
                }
            }
        }

        boolean closed() {
            return closed;
        }
    }

    /** How a set-up is answered, at the box's end of the wire. */
    interface SetUpReply {
        /** A status with a reason or null, and its load. */
        void status(int status, String reason, Load load);

        /** Its first media byte. */
        void plays();

        /** The connection was lost. */
        void lost();
    }

    /** A session that it plays. */
    static final class Playing {
        final String key;
        final String token;
        final double worth;
        final Front front;
        final int frontLife;
        final BoxProcess process;
        final double scale;
        final LinkNetwork.Flow flow;
        int rung;
        int segments;
        double seenAt;
        private boolean toldShort;

        private Playing(
                BoxClient.SetUpRequest order,
                Front front,
                BoxProcess process,
                Day.DayClass type,
                LinkNetwork.Flow flow,
                double now) {
            key = order.key();
            token = order.request().tokenId();
            worth = type.worth();
            this.front = front;
            frontLife = front.life();
            this.process = process;
            scale = type.scale();
            this.flow = flow;
            rung = order.rung();
            seenAt = now;
        }
    }

    private final World world;
    private final FleetPlan.Box plan;
    private final int hall;
    private final BoxParameters rules;
    private final LinkNetwork network;
    private final UniformRandomProvider random;
    private final Map<String, Playing> sessions = new LinkedHashMap<>();
    private final List<Runnable> parked = new ArrayList<>();
    private final Set<Wire> wires = new LinkedHashSet<>();
    private final Set<Integer> cut = new HashSet<>();
    private BoxProcess life;
    private double startedAt;
    private double slow = 1;
    private double notesLateMs;
    private double answersLost;
    private boolean mute;
    private double shownLink;
    private double shownUplink;
    private long spends;

    Box(World world, FleetPlan.Box plan, LinkNetwork network, long seed) {
        this.world = world;
        this.plan = plan;
        this.network = network;
        Day day = world.day();
        hall = day.zones().indexOf(plan.zone());
        Day.Boxes all = day.boxes();
        rules = new BoxParameters(
                all.places(),
                all.setUpMs(),
                all.coldMs(),
                all.coldShare(),
                day.rules().fallMultiple(),
                day.rules().fallMs(),
                TURNED_AWAY_AT);
        random = RandomStreams.of(seed, plan.id());
    }

    FleetPlan.Box plan() {
        return plan;
    }

    int hall() {
        return hall;
    }

    boolean up() {
        return life != null;
    }

    /** Start of its process as the registry lists it; 0 when long ago. */
    double listedStart() {
        return Double.isInfinite(startedAt) ? 0 : startedAt;
    }

    long spends() {
        return spends;
    }

    Collection<Playing> sessions() {
        return sessions.values();
    }

    boolean silentTo(int fromHall) {
        return mute || cut.contains(fromHall);
    }

    // ---- its process

    void start(boolean cold) {
        startedAt = cold ? world.now() : Double.NEGATIVE_INFINITY;
        life = new BoxProcess(rules, startedAt, random);
        mute = false;
        world.tap().record(new TraceEvent.BoxStarted(world.now(), plan.id(), cold));
    }

    void die(String why) {
        if (life == null) {
            return;
        }
        double now = world.now();
        world.tap().record(new TraceEvent.BoxStopped(now, plan.id(), why));
        life = null;
        sessions.values().forEach(session -> network.removeFlow(now, session.flow));
        sessions.clear();
        parked.clear();
        List<Wire> open = new ArrayList<>(wires);
        wires.clear();
        open.forEach(wire -> wire.onClosed = null);
        world.fronts().forEach(front -> boxDied(front, open));
    }

    /** Each front sees its connections end, finds nobody there, and gives up what it played here. */
    private void boxDied(Front front, List<Wire> open) {
        if (!front.up()) {
            return;
        }
        double way = world.halls().oneWayMs(hall, front.hall());
        front.links().boxDied(this, way, open);
        front.runAfter(3 * way, () -> {
            if (!up()) {
                front.core().handleBoxLost(plan.id(), SessionEnd.BOX_GONE);
            } else {
                front.core().handleBoxLost(plan.id(), SessionEnd.BOX_RESTARTED);
            }
        });
    }

    void drain() {
        if (life != null) {
            life.drain();
        }
    }

    void mute(boolean on) {
        mute = on;
        world.tap().record(new TraceEvent.BoxMuted(world.now(), plan.id(), on, null));
        unpark(on);
    }

    void cut(int from, boolean on) {
        if (cut.contains(from) == on) {
            return;
        }
        if (on) {
            cut.add(from);
        } else {
            cut.remove(from);
        }
        world.tap()
                .record(new TraceEvent.BoxMuted(
                        world.now(), plan.id(), on, world.day().zones().get(from)));
        unpark(on);
    }

    private void unpark(boolean silent) {
        if (!silent) {
            List<Runnable> due = new ArrayList<>(parked);
            parked.clear();
            due.forEach(Runnable::run);
        }
    }

    void slow(double times) {
        slow = times;
    }

    void notesLate(double ms) {
        notesLateMs = ms;
    }

    void answersLost(double share) {
        answersLost = share;
    }

    // ---- requests, at its end of the wire

    /** Does something once this hall is heard; what is closed by then was never read. */
    private void heard(int fromHall, Wire wire, Runnable action) {
        if (wire.closed()) {
            return;
        }
        if (silentTo(fromHall)) {
            parked.add(() -> heard(fromHall, wire, action));
        } else {
            action.run();
        }
    }

    void setUp(Front front, BoxClient.SetUpRequest order, Wire wire, SetUpReply reply) {
        wires.add(wire);
        heard(front.hall(), wire, () -> takeSetUp(front, order, wire, reply));
    }

    private void takeSetUp(Front front, BoxClient.SetUpRequest order, Wire wire, SetUpReply reply) {
        double now = world.now();
        String key = order.key();
        String cls = order.request().className();
        world.tap()
                .record(new TraceEvent.SetUp(
                        now,
                        plan.id(),
                        front.number(),
                        order.request().tokenId(),
                        key,
                        cls,
                        order.request().title(),
                        order.rung(),
                        order.spends(),
                        order.continues()));
        BoxProcess.SetUpDecision does = life.setUp(now, key, network.linkUtilization(plan.cell()), slow);
        if (does instanceof BoxProcess.SetUpDecision.Crashes) {
            die("pushed over");
        } else if (does instanceof BoxProcess.SetUpDecision.AlreadyKnown) {
            answer(wire, reply, key, 409, null);
        } else if (does instanceof BoxProcess.SetUpDecision.Rejected away) {
            answer(wire, reply, key, 503, away.reason());
        } else if (does instanceof BoxProcess.SetUpDecision.Accepted works) {
            BoxProcess own = life;
            wire.onClosed = () -> {
                wires.remove(wire);
                if (life == own) {
                    world.tap().record(new TraceEvent.AttemptEnded(world.now(), key, "called off"));
                    own.onConnectionLost(key);
                }
            };
            world.after(works.workMs(), () -> ready(front, order, wire, reply, own));
        }
    }

    private void ready(Front front, BoxClient.SetUpRequest order, Wire wire, SetUpReply reply, BoxProcess own) {
        if (own != life) {
            return;
        }
        if (silentTo(front.hall())) {
            parked.add(() -> ready(front, order, wire, reply, own));
            return;
        }
        if (!life.finishSetUp(order.key())) {
            return;
        }
        double now = world.now();
        wire.onClosed = null;
        wires.remove(wire);
        Day.DayClass type = world.day().classes().get(order.request().className());
        Playing session = new Playing(
                order, front, life, type, network.addFlow(now, plan.cell(), rate(order.rung(), type.scale())), now);
        sessions.put(order.key(), session);
        spends += order.spends() ? 1 : 0;
        world.tap().record(new TraceEvent.AttemptStarted(now, order.key()));
        if (random.nextDouble() < answersLost) {
            reply.lost();
            return;
        }
        world.tap().record(new TraceEvent.SetUpAnswer(now, order.key(), 200, null));
        reply.plays();
        tell(session, NoteKind.LINK_USE, Math.min(MOST_USE, network.linkUtilization(plan.cell())), 0);
        tell(session, NoteKind.UPLINK_USE, Math.min(MOST_USE, network.uplinkUtilization(plan.rack())), 0);
    }

    private void answer(Wire wire, SetUpReply reply, String key, int status, String reason) {
        wires.remove(wire);
        world.tap().record(new TraceEvent.SetUpAnswer(world.now(), key, status, reason));
        reply.status(status, reason, load());
    }

    private long rate(int rung, double scale) {
        return Math.max(1, Math.round(world.day().ladder().kb().get(rung) * scale * 1000));
    }

    Load load() {
        return new Load(life == null ? 0 : life.inflight(), shownLink, shownUplink);
    }

    /** What a call-off is answered with: whether it ran, and how long this process is up. */
    record CallOff(boolean ran, double upMs, Load load) {}

    /** Told to end an attempt; the answer is given at its end of the wire. */
    void callOff(Front front, String key, Wire wire, java.util.function.Consumer<CallOff> answer) {
        heard(front.hall(), wire, () -> {
            boolean ran = life.cancel(key);
            end(key, "released");
            world.tap().record(new TraceEvent.CancelAnswer(world.now(), key, ran));
            answer.accept(new CallOff(ran, world.now() - startedAt, load()));
        });
    }

    void rung(Front front, String key, int rung, Wire wire) {
        heard(front.hall(), wire, () -> {
            Playing session = sessions.get(key);
            if (session != null) {
                if (rung != session.rung) {
                    world.worth().changed(session, rung);
                }
                session.rung = rung;
                network.setRate(world.now(), session.flow, rate(rung, session.scale));
                world.tap().record(new TraceEvent.RungChanged(world.now(), key, rung));
            }
        });
    }

    /** The session of a key, or null. */
    Playing session(String key) {
        return sessions.get(key);
    }

    /** Share of its own rate that each session gets now. */
    double share() {
        return network.share(plan.cell());
    }

    double granted(Playing session) {
        return network.grantedBytes(world.now(), session.flow);
    }

    private void end(String key, String why) {
        Playing session = sessions.remove(key);
        if (session != null) {
            network.removeFlow(world.now(), session.flow);
        }
        world.tap().record(new TraceEvent.AttemptEnded(world.now(), key, why));
    }

    /** Ends sessions that nobody asks for any more. */
    void sweep() {
        double now = world.now();
        List<Playing> due =
                sessions.values().stream().filter(s -> now - s.seenAt > IDLE_MS).toList();
        for (Playing session : due) {
            life.onSessionEnded(session.key);
            end(session.key, "idle");
            Front front = session.front;
            world.after(
                    world.halls().oneWayMs(hall, front.hall()),
                    () -> front.run(
                            session.frontLife,
                            () -> front.core().handleAttemptLost(session.key, SessionEnd.BOX_ENDED)));
        }
    }

    // ---- notes

    private void tell(Playing session, NoteKind kind, double value, double lateMs) {
        world.after(lateMs, () -> {
            if (session.process != life || silentTo(session.front.hall())) {
                return;
            }
            Front front = session.front;
            world.after(
                    world.halls().oneWayMs(hall, front.hall()),
                    () -> front.run(
                            session.frontLife, () -> front.core().handleNote(plan.id(), session.key, kind, value)));
        });
    }

    private double lateMs() {
        return world.day().notes().lateMs() + notesLateMs;
    }

    /** Each second: the share delivered, on one session of each front. */
    void tellShare() {
        Set<Front> told = new HashSet<>();
        double share = share();
        for (Playing session : sessions.values()) {
            if (!told.add(session.front)) {
                continue;
            }
            boolean isShort = share < SHORT;
            if (isShort || session.toldShort) {
                tell(session, NoteKind.DELIVERED, share, lateMs());
            }
            session.toldShort = isShort;
        }
    }

    /** At the stated interval: how full link and uplink are, on one session of each front. */
    void tellUse() {
        shownLink = Math.min(MOST_USE, network.linkUtilization(plan.cell()));
        shownUplink = Math.min(MOST_USE, network.uplinkUtilization(plan.rack()));
        Set<Front> told = new HashSet<>();
        for (Playing session : sessions.values()) {
            if (told.add(session.front)) {
                tell(session, NoteKind.LINK_USE, shownLink, lateMs());
                tell(session, NoteKind.UPLINK_USE, shownUplink, lateMs());
            }
        }
    }
}
