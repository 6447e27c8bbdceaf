package spanrill;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Every decision of a front. The interface (settings, events, actions) is SessionControl.java.
 *
 * <p>In reading order: tuned values, state, events, choice of holder, set-up and its outcomes, the sweep
 * (rungs, then moves), health, cold pacing. The ordinary path is the paper's: the holder with the smallest
 * PI = J x SL + K x NS + H x FWI takes the session, the rung follows the room on the link, and a shortfall
 * CCQ that stays above SO = M x second-best PI moves it. All else is a guard with its own comment.
 */
public final class Control implements SessionControl {
    // The index. SL is a share of the link, so J = 1 makes one point of use the unit of PI.
    private static final double J = 1;
    // NS is set-up delay over the class's aim: a delay of a whole aim weighs as a fifth of a link.
    private static final double K = 0.2;
    // FWI is equal for all holders: it only raises SO a little for heavy sessions.
    private static final double H = 0.02;
    // CCQ is the worth lost to short delivery (missing share x stall); it must outweigh two full links.
    private static final double M = 2.0;
    // Shortfall is averaged over y; the excess must last z: notes are late and rungs are given time to help.
    private static final double Y_MS = 3000;
    private static final double Z_MS = 2000;
    private static final double MOVE_EVERY_MS = 30_000;
    // The rung rule: top rung up to the mark, one lower per step of use above it. Rates swing, figures lag.
    private static final double MARK = 0.88;
    private static final double STEP = 0.03;
    private static final double MOST = 0.97;
    private static final double RUNG_EVERY_MS = 10_000;
    // Room wanted before playing sessions are stepped: less is noise. A mistaken step up is paid twice.
    private static final double DOWN_SLACK = 0.03;
    private static final double UP_SLACK = 0.075;
    // Steps down are taken so much more often than if all followed: some are held or at their floor.
    private static final double DOWN_GAIN = 2.5;
    // Refusal is the step below the lowest rung: taken this far past the use that the floor's level allows.
    private static final double REFUSE_SLACK = 0.015;
    // Weight of a new figure against the old one kept up to date: single figures are noisy.
    private static final double FIGURE_WEIGHT = 0.6;
    // Reports that come with outcomes are about this late.
    private static final double REPORT_LATE_MS = 600;
    // A figure older than this counts as unheard (it fades into the average until then).
    private static final double STALE_MS = 12_000;
    // Guards against equal indexes that fall to one holder at every front: the unheard are drawn apart.
    private static final double SPREAD = 0.1;
    // Trust returns slowly: use seen above a full link fades from SL over this time.
    private static final double SCAR_MS = 15_000;
    // One attempt waits for this share of the class's aim where it may be sent again.
    private static final double ATTEMPT_SHARE = 0.6;
    // A server that failed is left alone for this long, doubling up to the longest.
    private static final double AVOID_MS = 2000;
    private static final double AVOID_MOST_MS = 16_000;
    // A server is silent when its notes are this many intervals overdue while most others' go on.
    private static final double SILENT_TELLS = 1.7;
    private static final double OTHERS_HEARD = 0.6;
    // Share of a cold server's budget that the fronts together may use.
    private static final double COLD_SAFETY = 0.95;
    // A restart may stay hidden this long, after this front's own start or a failure: it is listed soon.
    private static final double HIDDEN_MS = 3000;
    // A request waits for a cold server's next turn up to this share of its aim.
    private static final double HOLD_SHARE = 0.7;
    private static final double RETRY_AFTER_MS = 1000;
    private static final double SWEEP_MS = 250;
    // Answers are given this long before the viewer's time is up.
    private static final double ANSWER_MARGIN_MS = 20;
    // Tenants' and fronts' arrival rates are averaged over this time.
    private static final double RATE_MS = 10_000;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final Settings set;
    private final Actions act;
    private final SplittableRandom random;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, double[]> tenantRate = new HashMap<>();
    private final Map<String, Holder> holders = new LinkedHashMap<>();
    private final Map<Integer, List<Holder>> cells = new HashMap<>();
    private final Rack[] racks;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final Map<String, Left> lefts = new HashMap<>();
    private final ArrayDeque<Double> taken = new ArrayDeque<>();
    private final ArrayDeque<Double> further = new ArrayDeque<>();
    private final double ladderStep;
    private double startedAt, average;

    /** A link or an uplink: its last figure, and this front's changes which that cannot yet contain. */
    private static final class Pool {
        private double capacity = 1, own;
        private double figure = Double.NaN, at;
        private double scar, scarAt, downAt = NEVER;
        private int news;
        private final ArrayDeque<double[]> changes = new ArrayDeque<>();
        // What since() summed up last, kept up as changes come: a front of thousands asks for it often.
        private double sumFrom = Double.NaN, sum;

        /** Notes a change of this front's load, and of the whole load where other fronts do alike. */
        void change(double now, double kb, double all) {
            own = Math.max(0, own + kb);
            changes.add(new double[] {now, all});
            sum += now > sumFrom ? all : 0;
        }

        private double since(double time) {
            if (time != sumFrom) {
                sumFrom = time;
                sum = 0;
                for (double[] change : changes) {
                    sum += change[0] > time ? change[1] : 0;
                }
            }
            return sum / capacity;
        }

        /** A figure measured at a time: the old one, kept up to date by own changes, is drawn towards it. */
        void heard(double measured, double value, double weight) {
            if (!Double.isFinite(value) || (!Double.isNaN(figure) && measured < at)) {
                return;
            }
            double old =
                    Double.isNaN(figure) || measured - at > STALE_MS ? value : figure + since(at) - since(measured);
            figure = Math.max(0, old + weight * (value - old));
            at = measured;
            news++;
            changes.removeIf(change -> change[0] <= at);
            sumFrom = Double.NaN;
            if (value > 1 && value - 1 > scar(measured)) {
                scar = value - 1;
                scarAt = measured;
            }
        }

        double scar(double now) {
            return Math.max(0, scar * (1 - (now - scarAt) / SCAR_MS));
        }

        boolean fresh(double now) {
            return !Double.isNaN(figure) && now - at < STALE_MS;
        }

        double use(double now, double average) {
            double age = Double.isNaN(figure) ? 1 : Math.min(1, (now - at) / STALE_MS);
            double base = age == 1 ? average : figure * (1 - age * age) + average * age * age;
            return Math.max(0, base + since(age == 1 ? now - STALE_MS : at));
        }

        /** All that is asked over what this front asks: what each front corrects, all do in proportion. */
        double factor(double use, int fronts) {
            return Math.min(Math.max(use * capacity / Math.max(own, 1), 1), 2.0 * fronts);
        }
    }

    private static final class Rack {
        private final Pool uplink = new Pool();
        private double links;
    }

    private static final class Holder {
        private Server server;
        private Rack rack;
        private double places;
        private final Pool link = new Pool();
        private final Set<Session> playing = new LinkedHashSet<>();
        private int out, failures;
        private double delay = Double.NaN;
        private double missing, missingMean, movedKb;
        private double heardAt = NEVER, missingAt = NEVER, failedAt = NEVER;
        private double avoidUntil = NEVER, fullUntil = NEVER, coldUntil = NEVER, coldFrom = NEVER;
        private final ArrayDeque<Double> coldSends = new ArrayDeque<>();

        /** Counts what was heard of its link and uplink. */
        int news() {
            return link.news + rack.uplink.news;
        }
    }

    private static final class Session {
        private final Request request;
        private final ServiceClass type;
        private final double takenAt, deadline;
        private Holder holder;
        private int rung, attempts, judged;
        private double value, kb;
        private boolean out, playing, waiting, mayHaveRun;
        private double playingAt, overSince = Double.NaN;
        private double changedAt = NEVER, movedAt = NEVER;
        private final Set<Holder> tried = new HashSet<>();

        Session(Request request, ServiceClass type, double now) {
            this.request = request;
            this.type = type;
            takenAt = now;
            deadline = now + request.leftMs();
        }
    }

    /** What is remembered of a session on the move: the holder it left. */
    private record Left(Holder holder, double at) {}

    /** One front's decisions; randomness comes from the seed alone. */
    public Control(Settings settings, long seed, Actions actions) {
        set = settings;
        act = actions;
        random = new SplittableRandom(seed);
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.tenants().forEach(t -> tenants.put(t.name(), t));
        racks = new Rack[Math.max(1, settings.racks())];
        Arrays.setAll(racks, i -> new Rack());
        int top = settings.rungKb().size() - 1;
        ladderStep = top < 2 ? 1 : Math.max(0.1, Math.log(stepWorth(1) / stepWorth(top)) / (top - 1));
    }

    // ---- events

    @Override
    public void start(double now) {
        startedAt = now;
        act.timer("sweep", SWEEP_MS * (0.2 + random.nextDouble()));
    }

    @Override
    public void servers(double now, ListKind kind, List<Server> list) {
        if (kind == ListKind.FAILED) {
            return;
        }
        Set<String> named = new HashSet<>();
        for (Server server : list) {
            named.add(server.id());
            Holder holder = holders.computeIfAbsent(server.id(), id -> new Holder());
            double before = holder.server == null ? Double.NaN : holder.server.startedAt();
            boolean first = holder.server == null;
            holder.server = server;
            holder.rack = racks[Math.floorMod(server.cell(), racks.length)];
            double began = server.startedAt();
            if (!Double.isNaN(began) && began != before) {
                holder.coldUntil =
                        Math.max(holder.coldUntil, began + set.rules().coldMs());
                holder.coldFrom = now + random.nextDouble() * coldWindow(holder);
                // A process that started anew carries nothing over: neither its figures nor its failures.
                holder.failures = 0;
                holder.avoidUntil = NEVER;
                holder.link.figure = Double.NaN;
                holder.missing = 0;
                holder.missingMean = 0;
            }
            if (first && now - startedAt < HIDDEN_MS) {
                // Guards against a list kept from before this front's own start: any server may be cold.
                holder.coldUntil = Math.max(holder.coldUntil, startedAt + HIDDEN_MS);
            }
        }
        for (Holder holder : holders.values()) {
            Server s = holder.server;
            if (kind != ListKind.CHANGES && !named.contains(s.id())) {
                holder.server =
                        new Server(s.id(), s.zone(), s.kind(), s.cell(), ServerState.GONE, s.weight(), s.startedAt());
            }
        }
        arrange();
    }

    /** Sorts the servers by cell and sets the capacity of links and uplinks from the settings. */
    private void arrange() {
        cells.clear();
        List<Holder> listed = new ArrayList<>(holders.values());
        listed.removeIf(holder -> holder.server.state() == ServerState.GONE);
        boolean even = listed.stream().mapToDouble(Control::weight).distinct().count() <= 1;
        double places = listed.stream()
                .mapToDouble(h -> placesOf(h.server.kind()))
                .average()
                .orElse(1);
        Arrays.stream(racks).forEach(rack -> rack.links = 0);
        double total = 1;
        for (Holder holder : listed) {
            cells.computeIfAbsent(holder.server.cell(), c -> new ArrayList<>()).add(holder);
            holder.places = placesOf(holder.server.kind());
            // Where the list gives no sizes, the places of its kind tell a server's size.
            double size = weight(holder) * (even ? holder.places / places : 1);
            holder.link.capacity = Math.max(1, size * set.weightKb());
            holder.rack.links += holder.link.capacity;
            total += holder.link.capacity;
        }
        for (Rack rack : racks) {
            rack.uplink.capacity = Math.max(1, rack.links * set.uplinkKb() * racks.length / total);
        }
    }

    private static double weight(Holder holder) {
        double weight = holder.server.weight();
        return Double.isFinite(weight) && weight > 0 ? weight : 1;
    }

    private double placesOf(String kind) {
        return set.kinds().stream()
                .filter(k -> k.name().equals(kind))
                .mapToDouble(Kind::places)
                .findFirst()
                .orElse(set.kinds().stream().mapToDouble(Kind::places).min().orElse(1));
    }

    @Override
    public void request(double now, Request request) {
        Session session = take(now, request, request.returning() ? 0 : 1);
        taken.add(now);
        Left left = lefts.get(request.key());
        if (request.moved() && left != null) {
            session.movedAt = left.at;
            session.tried.add(left.holder);
        }
        if (session.type == null) {
            giveUp(session);
        } else {
            place(now, session);
        }
    }

    private Session take(double now, Request request, int asked) {
        Session session = new Session(request, classes.get(request.className()), now);
        if (session.type != null) {
            session.value = session.type.worth() * tenantWorth(now, request, asked);
            session.rung = session.type.floor();
        }
        sessions.put(request.id(), session);
        return session;
    }

    /**
     * Guards tenants' shares: sessions of one that asks beyond its quota count by what they earn. Only
     * first tries count, not sessions taken over. Quotas may be rounded: their sum is split by share.
     */
    private double tenantWorth(double now, Request request, int asked) {
        Tenant tenant = request.tenant() == null ? null : tenants.get(request.tenant());
        double quota = set.tenants().stream()
                .mapToDouble(Tenant::quotaPerS)
                .filter(q -> q > 0)
                .sum();
        if (tenant == null || quota == 0) {
            return 1;
        }
        double[] rate = tenantRate.computeIfAbsent(tenant.name(), n -> new double[] {0, now});
        rate[0] = rate[0] * Math.exp((rate[1] - now) / RATE_MS) + asked;
        rate[1] = now;
        double perS = Math.max(1e-6, rate[0] * 1000 / RATE_MS * set.fronts());
        double within = Math.min(1, tenant.share() * quota / perS);
        return within + (1 - within) * set.overShareWorth();
    }

    @Override
    public void takenOver(double now, Request request, String server) {
        Session session = take(now, request, 0);
        Holder holder = holders.get(server);
        if (session.type == null || holder == null) {
            sessions.remove(session.request.id());
            return;
        }
        session.holder = holder;
        session.playing = true;
        session.playingAt = now;
        session.attempts = 1;
        session.mayHaveRun = true;
        session.kb = kb(session.type, session.rung);
        holder.playing.add(session);
        load(now, holder, session.kb, 0);
        holder.heardAt = now;
        // A server that has sessions under way did not start just now.
        if (Double.isNaN(holder.server.startedAt())) {
            holder.coldUntil = NEVER;
        }
    }

    @Override
    public void playing(double now, String id, String server, double tookMs) {
        Session session = sessions.get(id);
        if (session == null || session.holder == null || !session.out) {
            return;
        }
        Holder holder = session.holder;
        session.out = false;
        holder.out--;
        session.playing = true;
        session.playingAt = now;
        holder.playing.add(session);
        holder.delay = Double.isNaN(holder.delay) ? tookMs : 0.7 * holder.delay + 0.3 * tookMs;
        well(now, holder);
    }

    @Override
    public void note(double now, String id, String server, NoteKind kind, double value) {
        Holder holder = holders.get(server);
        Session session = sessions.get(id);
        if (kind == NoteKind.RUNG) {
            if (session != null && session.holder == holder && session.playing) {
                double kb = kb(session.type, (int) value);
                load(now, holder, kb - session.kb, 0);
                session.kb = kb;
                session.rung = (int) value;
            }
            return;
        }
        if (holder == null) {
            return;
        }
        // At set-up a note is fresh, later ones are see_ms late.
        boolean atSetUp = session != null && session.playing && now - session.playingAt < set.seeMs() / 2;
        double measured = now - (atSetUp ? 0 : set.seeMs());
        if (measured > holder.failedAt) {
            holder.heardAt = now;
            if (holder.failures > 0) {
                well(now, holder);
            }
        }
        switch (kind) {
            case DELIVERED -> {
                holder.missing = value < 0.98 ? 1 - value : 0;
                holder.missingAt = now;
                if (value < 0.98) {
                    // The shortfall is the link's or the uplink's: the fuller of the two is raised to it.
                    // Guards against figures that stay out: an uplink unheard counts as full.
                    Pool uplink = holder.rack.uplink;
                    double known = now - uplink.at > 2 * set.tellMs() + set.seeMs() ? 1 : uplink.use(now, 0);
                    Pool pool = holder.link.fresh(now) && known > holder.link.use(now, 0) ? uplink : holder.link;
                    pool.heard(measured, Math.max(1 / Math.max(value, 0.2), pool.figure), FIGURE_WEIGHT);
                }
            }
            case LINK_USE -> holder.link.heard(measured, value, FIGURE_WEIGHT);
            default -> holder.rack.uplink.heard(measured, value, FIGURE_WEIGHT / 2);
        }
    }

    @Override
    public void ended(double now, String id, boolean closed, Outcome outcome, String server, Load load) {
        Session session = sessions.get(id);
        Holder holder = server == null ? null : holders.get(server);
        if (holder != null && load != null) {
            holder.link.heard(now - REPORT_LATE_MS, load.link(), FIGURE_WEIGHT / 2);
            holder.rack.uplink.heard(now - REPORT_LATE_MS, load.uplink(), FIGURE_WEIGHT / 3);
        }
        if (holder != null) {
            switch (outcome) {
                case OK -> well(now, holder);
                case FULL -> holder.fullUntil = now + set.seeMs();
                case TIMEOUT, CONNECT_FAILED, RESET, ERROR -> failed(now, holder);
                default -> {}
            }
        }
        if (session == null) {
            return;
        }
        boolean wasOut = session.out;
        release(now, session);
        if (closed) {
            sessions.remove(session.request.id());
            return;
        }
        if (!wasOut) {
            return;
        }
        session.mayHaveRun |= !outcome.neverRan();
        session.tried.add(holder);
        if (outcome == Outcome.MOOT || (session.mayHaveRun && session.type.once())) {
            giveUp(session);
        } else {
            place(now, session);
        }
    }

    @Override
    public void gone(double now, String id) {
        Session session = sessions.get(id);
        if (session != null) {
            release(now, session);
            sessions.remove(session.request.id());
        }
    }

    @Override
    public void timer(double now, String token) {
        if (token.equals("sweep")) {
            act.timer("sweep", SWEEP_MS);
            sweep(now);
            return;
        }
        Session session = sessions.get(token);
        if (session != null && session.waiting) {
            session.waiting = false;
            place(now, session);
        }
    }

    // ---- choice of holder

    /** Sends the session to the holder with the smallest index, or gives its final answer. */
    private void place(double now, Session session) {
        ServiceClass type = session.type;
        if (now > session.deadline - ANSWER_MARGIN_MS
                || session.attempts >= set.maxAttempts()
                || (session.attempts > 0 && !mayGoFurther(now))
                || seatsTaken(session)) {
            giveUp(session);
            return;
        }
        Holder best = null;
        double bestPi = Double.MAX_VALUE;
        double turn = Double.MAX_VALUE;
        average = averageUse(now);
        for (Holder holder : holdersOf(session.request)) {
            if (!usable(now, holder, session)) {
                continue;
            }
            double wait = coldWait(now, holder);
            if (wait > 0) {
                turn = Math.min(turn, wait);
                continue;
            }
            double pi = index(now, holder, session) + (holder.link.fresh(now) ? 0 : -random.nextDouble() * SPREAD);
            if (pi < bestPi) {
                bestPi = pi;
                best = holder;
            }
        }
        if (best == null) {
            double until = Math.min(session.takenAt + HOLD_SHARE * type.aimMs(), session.deadline);
            if (now + turn < until - ANSWER_MARGIN_MS) {
                session.waiting = true;
                act.timer(session.request.id(), turn);
            } else {
                giveUp(session);
            }
            return;
        }
        double floorUse = use(now, best) + share(now, best, kb(type, type.floor()));
        double bearable = allowed(level(session, type.floor())) + REFUSE_SLACK;
        boolean heard = best.link.fresh(now) || best.rack.uplink.fresh(now);
        if (heard && floorUse > bearable && !session.mayHaveRun && session.attempts == 0) {
            giveUp(session);
            return;
        }
        send(now, session, best);
    }

    private List<Holder> holdersOf(Request request) {
        List<Holder> found = new ArrayList<>();
        for (int i = 0; i < Math.min(request.copies(), set.cells()); i++) {
            found.addAll(cells.getOrDefault(Math.floorMod(request.home() + i, set.cells()), List.of()));
        }
        return found;
    }

    /** PI of a holder for a session: load, set-up delay with the price of crossing zones, title weight. */
    private double index(double now, Holder holder, Session session) {
        double sl = use(now, holder)
                + holder.link.scar(now)
                + share(now, holder, kb(session.type, set.rungKb().size() / 2));
        double delay = Double.isNaN(holder.delay) ? 0 : holder.delay / session.type.aimMs();
        boolean crosses = set.zone() != null && !set.zone().equals(holder.server.zone());
        double ns = delay + (crosses ? set.crossZonePrice() / K : 0);
        double fwi = (double) session.rung / set.rungKb().size();
        return J * sl + K * ns + H * fwi;
    }

    /** Use of the tighter of link and uplink, as last heard and with own changes since. */
    private double use(double now, Holder holder) {
        return Math.max(holder.link.use(now, average), holder.rack.uplink.use(now, average));
    }

    private double share(double now, Holder holder, double kb) {
        double warmth = now < holder.coldUntil ? set.rules().coldShare() : 1;
        return kb / Math.min(holder.link.capacity * warmth, holder.rack.uplink.capacity);
    }

    private double averageUse(double now) {
        double sum = 0;
        int heard = 0;
        for (Holder holder : holders.values()) {
            if (holder.server.state() != ServerState.GONE && holder.link.fresh(now)) {
                Pool uplink = holder.rack.uplink;
                double above = uplink.fresh(now) ? uplink.use(now, average) : 0;
                sum += Math.max(holder.link.use(now, average), above);
                heard++;
            }
        }
        return heard == 0 ? MARK : sum / heard;
    }

    private boolean usable(double now, Holder holder, Session session) {
        if (holder.server.state() != ServerState.READY
                || session.tried.contains(holder)
                || now < holder.fullUntil
                || now < holder.avoidUntil) {
            return false;
        }
        // A server that failed is tried again by one session at a time that may be sent elsewhere after.
        return holder.failures == 0 || (holder.out == 0 && !session.type.once());
    }

    private boolean seatsTaken(Session session) {
        int seats = session.type.seats();
        if (seats == 0) {
            return false;
        }
        return sessions.values().stream()
                        .filter(other -> (other.out || other.playing)
                                && other.type == session.type
                                && Objects.equals(other.request.title(), session.request.title()))
                        .count()
                >= seats;
    }

    // ---- set-up and its outcomes

    private void send(double now, Session session, Holder holder) {
        int rung = rungFor(now, session, holder);
        if (rung != session.type.floor() || session.attempts > 0) {
            act.rate(session.request.id(), rung);
        }
        session.rung = rung;
        session.kb = kb(session.type, rung);
        session.holder = holder;
        session.out = true;
        holder.out++;
        load(now, holder, session.kb, session.kb);
        if (session.attempts > 0) {
            further.add(now);
        }
        session.attempts++;
        if (now < holder.coldUntil || holder.failures > 0) {
            holder.coldSends.add(now);
        }
        // An attempt that may be sent again is given up early; one paid for has only this chance.
        double until = session.type.once()
                ? session.deadline
                : Math.min(session.deadline, now + ATTEMPT_SHARE * session.type.aimMs());
        act.send(session.request.id(), until, holder.server.id());
    }

    private void giveUp(Session session) {
        sessions.remove(session.request.id());
        if (session.mayHaveRun && session.type.once()) {
            act.fail(session.request.id());
        } else {
            act.refuse(session.request.id(), Math.min(RETRY_AFTER_MS, set.maxRetryAfterMs()));
        }
    }

    /** Keeps the budget of further attempts, where one is stated. */
    private boolean mayGoFurther(double now) {
        Rules rules = set.rules();
        if (Double.isNaN(rules.attemptWindowMs())) {
            return true;
        }
        trim(taken, now - rules.attemptWindowMs());
        trim(further, now - rules.attemptWindowMs());
        return further.size() + 1 <= rules.spareAttempts() + rules.attemptShare() * taken.size();
    }

    private static void trim(ArrayDeque<Double> times, double before) {
        times.removeIf(time -> time <= before);
    }

    private void release(double now, Session session) {
        if (session.holder != null) {
            session.holder.out -= session.out ? 1 : 0;
            session.holder.playing.remove(session);
            load(now, session.holder, -session.kb, -session.kb);
        }
        session.holder = null;
        session.kb = 0;
        session.out = false;
        session.playing = false;
    }

    private static void load(double now, Holder holder, double kb, double all) {
        holder.link.change(now, kb, all);
        holder.rack.uplink.change(now, kb, all);
    }

    // ---- rungs

    private double kb(ServiceClass type, int rung) {
        return type.scale() * set.rungKb().get(rung);
    }

    /** Worth per kB of the step up to a rung of the ladder. */
    private double stepWorth(int rung) {
        return Math.max(1e-9, set.rungWorth().get(rung) - set.rungWorth().get(rung - 1))
                / (set.rungKb().get(rung) - set.rungKb().get(rung - 1));
    }

    /** Steps of use above the mark that a rung is worth keeping: by the worth per kB of the step up to it. */
    private double level(Session session, int rung) {
        int floor = session.type.floor();
        double worth = (rung > floor
                        ? stepWorth(rung)
                        : set.rungWorth().get(floor) / set.rungKb().get(floor))
                * session.value
                / session.type.scale();
        return Math.max(0, Math.log(worth / stepWorth(set.rungKb().size() - 1)) / ladderStep);
    }

    private int top(Session session) {
        return Math.max(
                session.type.floor(),
                Math.min(
                        session.request.top(),
                        Math.min(session.type.top(), set.rungKb().size() - 1)));
    }

    /** The use up to which a level is kept: one step for each level above the mark, up to the most. */
    private static double allowed(double level) {
        return Math.min(MOST, MARK + STEP * level);
    }

    /** The rung rule at set-up: the highest rung whose load still finds the use its steps allow. */
    private int rungFor(double now, Session session, Holder holder) {
        double use = use(now, holder) + holder.link.scar(now);
        int rung = top(session);
        while (rung > session.type.floor()
                && use + share(now, holder, kb(session.type, rung)) > allowed(level(session, rung))) {
            rung--;
        }
        return rung;
    }

    /** Draws the sessions of a rack of which something new was heard to the rungs that their steps allow. */
    private void restep(double now, List<Session> playing) {
        List<Session> free = new ArrayList<>(playing);
        free.removeIf(s -> now - s.changedAt < RUNG_EVERY_MS || s.judged == s.holder.news());
        free.sort(Comparator.comparingDouble(s -> level(s, s.rung)));
        for (Session s : free) {
            if (s.rung <= s.type.floor()) {
                break;
            }
            step(now, s, false);
        }
        Collections.reverse(free);
        for (Session s : free) {
            Pool link = s.holder.link;
            Pool uplink = s.holder.rack.uplink;
            s.judged = s.holder.news();
            // Guards against see-saws: room just made by steps down is not given away again at once.
            boolean held = now - Math.max(s.changedAt, Math.max(link.downAt, uplink.downAt)) < RUNG_EVERY_MS;
            if (!held
                    && now - s.playingAt >= set.seeMs()
                    && link.fresh(now)
                    && uplink.fresh(now)
                    && s.holder.failures == 0
                    && s.holder.server.state() == ServerState.READY) {
                step(now, s, true);
            }
        }
    }

    /**
     * The highest rung whose load, corrected alike by all that heard the same, keeps the use its steps allow.
     * Where the last step is too coarse it is taken by chance, so that the sum over all sessions is right.
     */
    private void step(double now, Session s, boolean up) {
        int rung = up ? top(s) : s.rung;
        int last = up ? s.rung : s.type.floor();
        double slack = up ? UP_SLACK + s.holder.link.scar(now) : -DOWN_SLACK;
        double part = 0;
        while (rung > last && part <= 0) {
            double over = excess(now, s, rung);
            double step = over - excess(now, s, rung - 1);
            part = Math.min(1, 1 - (up ? 1 : DOWN_GAIN) * (over + slack) / step);
            rung--;
        }
        if (part <= 0 && (up || s.rung == last)) {
            return;
        }
        // The rung below is taken at least; what all fronts together take of the step above it is expected.
        double above = part <= 0 ? 0 : kb(s.type, rung + 1) - kb(s.type, rung);
        double expected = kb(s.type, rung) + part * above - s.kb;
        int chosen = part > 0 && random.nextDouble() < part ? rung + 1 : rung;
        double kb = kb(s.type, chosen) - s.kb;
        for (Pool pool : List.of(s.holder.link, s.holder.rack.uplink)) {
            pool.change(now, kb, expected * pool.factor(pool.use(now, average), set.fronts()));
            pool.downAt = chosen < s.rung ? now : pool.downAt;
        }
        if (chosen != s.rung) {
            s.kb += kb;
            s.rung = chosen;
            s.changedAt = now;
            act.rate(s.request.id(), chosen);
        }
    }

    /** How far the fuller of link and uplink would be past the use allowed, were this session at a rung. */
    private double excess(double now, Session s, int rung) {
        double most = 0;
        for (Pool pool : List.of(s.holder.link, s.holder.rack.uplink)) {
            double use = pool.use(now, average);
            double more = (kb(s.type, rung) - s.kb) * pool.factor(use, set.fronts()) / pool.capacity;
            most = Math.max(most, pool.fresh(now) ? use + more : 0);
        }
        return most - allowed(level(s, rung));
    }

    // ---- the sweep: rungs first, then moves

    private void sweep(double now) {
        average = averageUse(now);
        Map<Rack, List<Session>> byRack = new LinkedHashMap<>();
        for (Holder holder : holders.values()) {
            if (!holder.playing.isEmpty()) {
                byRack.computeIfAbsent(holder.rack, r -> new ArrayList<>()).addAll(holder.playing);
            }
        }
        byRack.values().forEach(playing -> restep(now, playing));
        for (Holder holder : holders.values()) {
            watch(now, holder);
            moves(now, holder);
        }
        lefts.values().removeIf(left -> now - left.at > MOVE_EVERY_MS);
    }

    /** Keeps the shortfall of a holder averaged over y; a silent or leaving server delivers nothing. */
    private void watch(double now, Holder holder) {
        if (silent(now, holder)) {
            failed(now, holder);
        }
        double missing = now - holder.missingAt < 2500 ? holder.missing : 0;
        boolean lost = holder.server.state() != ServerState.READY
                || (holder.failures > 0 && now - holder.heardAt > SILENT_TELLS * set.tellMs() + set.seeMs());
        double part = SWEEP_MS / Y_MS;
        holder.missingMean += part * ((lost ? 1 : missing) - holder.missingMean);
        holder.movedKb *= 1 - SWEEP_MS / (Y_MS + Z_MS);
    }

    private void moves(double now, Holder holder) {
        double ccq = set.stall() * holder.missingMean;
        if (ccq <= 0) {
            // No index is below 0, so none of its sessions can be over SO.
            holder.playing.forEach(session -> session.overSince = Double.NaN);
            return;
        }
        double clears = holder.missingMean * holder.link.own;
        for (Session session : new ArrayList<>(holder.playing)) {
            if (now - session.playingAt < Y_MS || now - session.movedAt < MOVE_EVERY_MS) {
                continue;
            }
            List<Holder> others = holdersOf(session.request);
            others.removeIf(o -> o != holder && (!usable(now, o, session) || coldWait(now, o) > 0));
            others.sort(Comparator.comparingDouble(o -> index(now, o, session)));
            Holder target = others.stream().filter(o -> o != holder).findFirst().orElse(null);
            if (target == null || ccq <= M * index(now, others.get(Math.min(1, others.size() - 1)), session)) {
                session.overSince = Double.NaN;
                continue;
            }
            if (Double.isNaN(session.overSince)) {
                session.overSince = now + random.nextDouble() * Z_MS / 2;
            }
            double floorUse = use(now, target)
                    + target.link.scar(now)
                    + share(now, target, kb(session.type, session.type.floor()));
            if (now - session.overSince < Z_MS || holder.movedKb >= clears || floorUse > MARK) {
                continue;
            }
            holder.movedKb += session.kb;
            session.movedAt = now;
            lefts.put(session.request.key(), new Left(holder, now));
            act.move(session.request.id());
        }
    }

    // ---- health

    /** A server failed an attempt, lost a session or fell silent: it is left alone, then tried by one. */
    private void failed(double now, Holder holder) {
        if (now - holder.failedAt > set.seeMs() || holder.failures == 0) {
            holder.failures++;
            double avoid = Math.min(AVOID_MOST_MS, AVOID_MS * Math.pow(2, holder.failures - 1.0));
            holder.avoidUntil = now + avoid * (0.8 + 0.4 * random.nextDouble());
            if (holder.failures == 1) {
                act.log("avoiding " + holder.server.id());
            }
        }
        holder.failedAt = now;
    }

    /**
     * A server showed itself well. After a failure it may have started anew, which the list soon tells, but
     * not where a session from before goes on: then only an answer was lost.
     */
    private void well(double now, Holder holder) {
        if (holder.failures > 0) {
            if (holder.playing.isEmpty() || holder.playing.iterator().next().playingAt >= holder.failedAt) {
                holder.coldUntil = Math.max(holder.coldUntil, now + HIDDEN_MS);
            }
            act.log("trusting " + holder.server.id());
        }
        holder.failures = 0;
        holder.avoidUntil = NEVER;
        holder.heardAt = now;
    }

    /** Guards against servers that vanish: notes due stay out while most other servers' go on. */
    private boolean silent(double now, Holder holder) {
        if (set.tellMs() <= 0 || holder.failures > 0 || holder.playing.isEmpty()) {
            return false;
        }
        double oldest = holder.playing.iterator().next().playingAt;
        double due = SILENT_TELLS * set.tellMs() + set.seeMs();
        if (now - Math.max(oldest, holder.heardAt) < due) {
            return false;
        }
        int others = 0;
        int heard = 0;
        for (Holder other : holders.values()) {
            if (other != holder && !other.playing.isEmpty() && other.failures == 0) {
                others++;
                heard += now - other.heardAt < set.tellMs() ? 1 : 0;
            }
        }
        return others > 1 && heard >= OTHERS_HEARD * others;
    }

    // ---- cold pacing

    /**
     * Guards cold servers: the time until this front may send one its next set-up. The fronts share the
     * budget with no word between them: each keeps a fixed part of any window, and where a part is less than
     * one set-up the window is longer and begins anywhere in the first.
     */
    private double coldWait(double now, Holder holder) {
        if (now >= holder.coldUntil && holder.failures == 0) {
            return 0;
        }
        double window = coldWindow(holder);
        trim(holder.coldSends, now - window);
        if (holder.coldSends.size() < Math.max(1, (int) coldPart(holder))) {
            return Math.max(0, holder.coldFrom - now);
        }
        return Math.max(1, holder.coldSends.peek() + window - now);
    }

    /** This front's part of the set-ups that a cold server bears within the time stated. */
    private double coldPart(Holder holder) {
        Rules rules = set.rules();
        return COLD_SAFETY
                * rules.fallMultiple()
                * rules.coldShare()
                * placesOf(holder.server.kind())
                / rules.coldMs()
                * rules.fallMs()
                / Math.max(1, set.fronts());
    }

    private double coldWindow(Holder holder) {
        return set.rules().fallMs() / Math.min(1, coldPart(holder));
    }
}
