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
import java.util.TreeSet;
import java.util.function.DoubleSupplier;

/**
 * Decides placement, rungs and moves for one front. {@link SessionControl} defines its settings, events and actions.
 *
 * <p>In reading order: constants, state, events, choice of holder, set-up and its outcomes, the sweep (rungs, then
 * moves), server health, pacing of cold servers. A holder is a server whose cell stores the title.
 *
 * <p>The base algorithm is the paper's. The session is set up at the holder with the smallest placement index
 * PI = J x SL + K x NS + H x FWI (link load, set-up delay, session weight). Its rung follows the free capacity of the
 * link. A shortfall cost CCQ that stays above the threshold SO = M x second-smallest PI moves the session. Everything
 * else is a safeguard, explained where it is implemented.
 */
public final class Control implements SessionControl {
    // Weight of link load (J in the paper). SL is a share of the link, so 1 makes a full link the unit of PI.
    private static final double LOAD_WEIGHT = 1;
    // Weight of set-up delay (K in the paper). NS is the delay divided by the class's set-up time target
    // (aim), so a delay of one whole target weighs as much as a fifth of a link.
    private static final double SET_UP_DELAY_WEIGHT = 0.2;
    // Weight of the session's rung (H in the paper). FWI is equal for all holders, so it only raises SO a little for
    // heavy sessions.
    private static final double RUNG_WEIGHT = 0.02;
    // Factor of the move threshold (M in the paper). CCQ is the worth lost to short delivery (missing share x stall),
    // which must outweigh two full links.
    private static final double MOVE_THRESHOLD_FACTOR = 2.0;
    // The shortfall is averaged over the first time (y in the paper). CCQ must exceed SO for the second (z) before a
    // session moves: notes arrive late, and lower rungs need time to take effect.
    private static final double SHORTFALL_AVERAGE_MS = 3000;
    private static final double EXCESS_DURATION_MS = 2000;
    private static final double MIN_MOVE_INTERVAL_MS = 30_000;
    // The rung rule: the top rung is kept up to the target utilization, and one rung less for each step of utilization
    // above it, up to the maximum. All stay below 1 because rates fluctuate and measurements lag.
    private static final double TARGET_UTILIZATION = 0.88;
    private static final double UTILIZATION_STEP = 0.03;
    private static final double MAX_UTILIZATION = 0.97;
    private static final double MIN_RUNG_INTERVAL_MS = 10_000;
    // Margins of utilization that must be exceeded before the rung of a playing session changes: less is noise. The
    // margin for steps up is larger, because a mistaken step up costs two changes.
    private static final double STEP_DOWN_MARGIN = 0.03;
    private static final double STEP_UP_MARGIN = 0.075;
    // Factor on the probability of a step down: some sessions can't step, having just changed or being at their floor.
    private static final double STEP_DOWN_GAIN = 2.5;
    // Refusal is the step below the lowest rung: it begins this far above the utilization allowed for the floor rung.
    private static final double REFUSAL_MARGIN = 0.015;
    // Weight of a new measurement against the estimate, which own changes keep current: single measurements are noisy.
    private static final double MEASUREMENT_WEIGHT = 0.6;
    // Approximate age of the load reports that arrive with outcomes.
    private static final double REPORT_AGE_MS = 600;
    // An estimate older than this counts as unknown. Until then it fades into the average of all links.
    private static final double ESTIMATE_EXPIRY_MS = 12_000;
    // Largest random deduction from the index of a holder of unknown load: with equal indexes, all fronts would choose
    // the same holder.
    private static final double UNKNOWN_LOAD_SPREAD = 0.1;
    // Utilization measured above a full link stays in SL as a penalty that falls to 0 over this time, so that an
    // overloaded link is filled again only slowly.
    private static final double OVERLOAD_PENALTY_DECAY_MS = 15_000;
    // An attempt that may be retried elsewhere times out after this share of the class's set-up time
    // target (aim).
    private static final double ATTEMPT_TIMEOUT_SHARE = 0.6;
    // A server that failed is avoided for this long, doubled with each further failure up to the maximum.
    private static final double INITIAL_AVOID_MS = 2000;
    private static final double MAX_AVOID_MS = 16_000;
    // A server counts as silent when its notes are missing for this many intervals while at least this share of the
    // other servers still sends notes.
    private static final double SILENT_INTERVALS = 1.7;
    private static final double MIN_REPORTING_SHARE = 0.6;
    // Share of a cold server's set-up budget that all fronts together may use.
    private static final double COLD_BUDGET_SHARE = 0.95;
    // After this front's own start or a server's failure, a server may have restarted without the list showing it yet.
    // The list shows a restart within this time.
    private static final double UNLISTED_RESTART_MS = 3000;
    // A request waits for the next permitted set-up at a cold server for up to this share of its class's set-up time
    // target (aim).
    private static final double MAX_WAIT_SHARE = 0.7;
    private static final double RETRY_AFTER_MS = 1000;
    private static final double SWEEP_INTERVAL_MS = 250;
    // Final answers are given this long before the viewer's deadline.
    private static final double ANSWER_MARGIN_MS = 20;
    // Tenants' arrival rates are averaged over this time.
    private static final double RATE_AVERAGE_MS = 10_000;

    // A server that the list calls gone is forgotten after this time, or after a cold phase if that is longer. Until
    // then its failures and set-ups count, should it return.
    private static final double GONE_RETENTION_MS = 60_000;

    private static final double NEVER = Double.NEGATIVE_INFINITY;
    private static final Comparator<Holder> HOLDER_ORDER = Comparator.comparingInt(holder -> holder.ordinal);

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, double[]> tenantRates = new HashMap<>();
    private final Map<String, Holder> holders = new LinkedHashMap<>();
    // In the order in which the list first showed them, so that equal events lead to equal actions.
    private final Map<Integer, Set<Holder>> cells = new HashMap<>();
    private final Set<Holder> measured = new TreeSet<>(HOLDER_ORDER);
    private final LinkCapacities capacities;
    private final Rack[] racks;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final Map<String, RecentMove> recentMoves = new HashMap<>();
    private final ArrayDeque<Double> requestTimes = new ArrayDeque<>();
    private final ArrayDeque<Double> retryTimes = new ArrayDeque<>();
    private final double logWorthStep;
    private double frontStartedAt, averageUtilization;
    private int holdersSeen;

    /** Estimated load of a link or an uplink: the last estimate, and this front's changes since that measurement. */
    private static final class LinkLoad {
        private final DoubleSupplier capacityKbPerS;
        private double ownKbPerS;
        private double estimate = Double.NaN, estimateAt;
        private double overload, overloadAt, steppedDownAt = NEVER;
        private int updates;
        private final ArrayDeque<double[]> recentChanges = new ArrayDeque<>();
        // Cached result of changesSince(), updated with each change: a front with thousands of sessions needs it often.
        private double sumSince = Double.NaN, changeSum;

        LinkLoad(DoubleSupplier capacityKbPerS) {
            this.capacityKbPerS = capacityKbPerS;
        }

        double capacity() {
            return capacityKbPerS.getAsDouble();
        }

        /**
         * Records a change of load.
         *
         * @param ownChange change of this front's load, kB a second
         * @param totalChange expected change by all fronts, kB a second; larger where other fronts react alike
         */
        void addChange(double now, double ownChange, double totalChange) {
            ownKbPerS = Math.max(0, ownKbPerS + ownChange);
            // No older change is asked for: by then an estimate counts as unknown.
            while (!recentChanges.isEmpty() && recentChanges.peek()[0] < now - 2 * ESTIMATE_EXPIRY_MS) {
                recentChanges.poll();
            }
            recentChanges.add(new double[] {now, totalChange});
            changeSum += now > sumSince ? totalChange : 0;
        }

        private double changesSince(double time) {
            if (time != sumSince) {
                sumSince = time;
                changeSum = 0;
                for (double[] change : recentChanges) {
                    changeSum += change[0] > time ? change[1] : 0;
                }
            }
            return changeSum / capacity();
        }

        /** Moves the estimate, brought up to date with the changes since, towards a measurement of the utilization. */
        void update(double measuredAt, double value, double weight) {
            if (!Double.isFinite(value) || (!Double.isNaN(estimate) && measuredAt < estimateAt)) {
                return;
            }
            double current = Double.isNaN(estimate) || measuredAt - estimateAt > ESTIMATE_EXPIRY_MS
                    ? value
                    : estimate + changesSince(estimateAt) - changesSince(measuredAt);
            estimate = Math.max(0, current + weight * (value - current));
            estimateAt = measuredAt;
            updates++;
            recentChanges.removeIf(change -> change[0] <= estimateAt);
            sumSince = Double.NaN;
            if (value > 1 && value - 1 > overloadPenalty(measuredAt)) {
                overload = value - 1;
                overloadAt = measuredAt;
            }
        }

        double overloadPenalty(double now) {
            return Math.max(0, overload * (1 - (now - overloadAt) / OVERLOAD_PENALTY_DECAY_MS));
        }

        boolean isFresh(double now) {
            return !Double.isNaN(estimate) && now - estimateAt < ESTIMATE_EXPIRY_MS;
        }

        double utilization(double now, double averageUtilization) {
            double age = Double.isNaN(estimate) ? 1 : Math.min(1, (now - estimateAt) / ESTIMATE_EXPIRY_MS);
            double blended =
                    age == 1 ? averageUtilization : estimate * (1 - age * age) + averageUtilization * age * age;
            return Math.max(0, blended + changesSince(age == 1 ? now - ESTIMATE_EXPIRY_MS : estimateAt));
        }

        /**
         * Returns the ratio of the link's total load to this front's part of it, from 1 to twice the number of fronts.
         * All fronts react to the same measurement in proportion to their load.
         */
        double totalToOwnLoadRatio(double utilization, int fronts) {
            return Math.min(Math.max(utilization * capacity() / Math.max(ownKbPerS, 1), 1), 2.0 * fronts);
        }
    }

    private static final class Rack {
        private final LinkLoad uplink;

        Rack(DoubleSupplier uplinkKbPerS) {
            uplink = new LinkLoad(uplinkKbPerS);
        }
    }

    private static final class Holder {
        private final int ordinal;
        private final LinkLoad link;
        private Server server;
        private Rack rack;
        private final Set<Session> playing = new LinkedHashSet<>();
        private int pendingSetUps, failures;
        private double setUpDelayMs = Double.NaN;
        private double shortfall, meanShortfall, movedKbPerS;
        private double lastContactAt = NEVER, shortfallAt = NEVER, failedAt = NEVER;
        private double goneAt = NEVER, avoidUntil = NEVER, fullUntil = NEVER, coldUntil = NEVER, coldPacingFrom = NEVER;
        private final ArrayDeque<Double> coldSendTimes = new ArrayDeque<>();

        Holder(int ordinal, LinkCapacities capacities) {
            this.ordinal = ordinal;
            link = new LinkLoad(() -> capacities.linkKbPerS(server));
        }

        boolean isListed() {
            return server != null && server.state() != ServerState.GONE;
        }

        /** Number of measurements of its link and uplink so far. */
        int linkUpdates() {
            return link.updates + rack.uplink.updates;
        }
    }

    private static final class Session {
        private final Request request;
        private final ServiceClass type;
        private final double receivedAt, deadline;
        private Holder holder;
        private int rung, attempts, evaluatedUpdates;
        private double value, kbPerS;
        private boolean settingUp, playing, waiting, mayHaveRun;
        private double playingSince, excessSince = Double.NaN;
        private double rungChangedAt = NEVER, movedAt = NEVER;
        private final Set<Holder> tried = new HashSet<>();

        Session(Request request, ServiceClass type, double now) {
            this.request = request;
            this.type = type;
            receivedAt = now;
            deadline = now + request.leftMs();
        }
    }

    /** A recent move of a session: the holder it was moved off, and when. */
    private record RecentMove(Holder from, double movedAt) {}

    /** Creates the module of one front. All random draws come from the seed. */
    public Control(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        settings.classes().forEach(type -> classes.put(type.name(), type));
        settings.tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
        capacities = new LinkCapacities(settings);
        racks = new Rack[capacities.rackCount()];
        Arrays.setAll(racks, i -> new Rack(() -> capacities.uplinkKbPerS(i)));
        int top = settings.rungKb().size() - 1;
        logWorthStep = top < 2 ? 1 : Math.max(0.1, Math.log(stepWorthPerKb(1) / stepWorthPerKb(top)) / (top - 1));
    }

    // ---- events

    @Override
    public void start(double now) {
        frontStartedAt = now;
        actions.timer("sweep", SWEEP_INTERVAL_MS * (0.2 + random.nextDouble()));
    }

    @Override
    public void servers(double now, ListKind kind, List<Server> list) {
        if (kind == ListKind.FAILED) {
            return;
        }
        for (Server server : list) {
            Holder holder = holders.computeIfAbsent(server.id(), id -> new Holder(holdersSeen++, capacities));
            double previousStartedAt = holder.server == null ? Double.NaN : holder.server.startedAt();
            boolean isNew = holder.server == null;
            updateListing(now, holder, server);
            double serverStartedAt = server.startedAt();
            if (!Double.isNaN(serverStartedAt) && serverStartedAt != previousStartedAt) {
                holder.coldUntil = Math.max(
                        holder.coldUntil, serverStartedAt + settings.rules().coldMs());
                holder.coldPacingFrom = now + random.nextDouble() * coldBudgetWindowMs(holder);
                // A restarted process keeps neither the load nor the failures of the one before.
                holder.failures = 0;
                holder.avoidUntil = NEVER;
                holder.link.estimate = Double.NaN;
                holder.shortfall = 0;
                holder.meanShortfall = 0;
            }
            if (isNew && now - frontStartedAt < UNLISTED_RESTART_MS) {
                // The list may be a stored one from before this front's start, and a server on it may have restarted
                // since. Until the list would show such a restart, each server on it is treated as cold.
                holder.coldUntil = Math.max(holder.coldUntil, frontStartedAt + UNLISTED_RESTART_MS);
            }
        }
        if (kind != ListKind.CHANGES) {
            markUnlistedGone(now, list);
        }
    }

    private void markUnlistedGone(double now, List<Server> list) {
        Set<String> listedIds = new HashSet<>();
        list.forEach(server -> listedIds.add(server.id()));
        for (Holder holder : holders.values()) {
            if (holder.isListed() && !listedIds.contains(holder.server.id())) {
                updateListing(now, holder, holder.server.inState(ServerState.GONE));
            }
        }
    }

    /** Applies a list entry: updates the holder's cell, its rack and the capacities of the links. */
    private void updateListing(double now, Holder holder, Server server) {
        if (holder.isListed()) {
            capacities.remove(holder.server);
            cells.get(holder.server.cell()).remove(holder);
            holder.goneAt = now;
        }
        holder.server = server;
        holder.rack = racks[capacities.rackOf(server)];
        if (holder.isListed()) {
            capacities.add(server);
            cells.computeIfAbsent(server.cell(), cell -> new TreeSet<>(HOLDER_ORDER))
                    .add(holder);
        }
    }

    @Override
    public void request(double now, Request request) {
        Session session = addSession(now, request, request.returning() ? 0 : 1);
        recordAttempt(now, requestTimes);
        RecentMove lastMove = recentMoves.get(request.key());
        if (request.moved() && lastMove != null) {
            session.movedAt = lastMove.movedAt;
            session.tried.add(lastMove.from);
        }
        if (session.type == null) {
            refuseOrFail(session);
        } else {
            placeSession(now, session);
        }
    }

    private Session addSession(double now, Request request, int newRequests) {
        Session session = new Session(request, classes.get(request.className()), now);
        if (session.type != null) {
            session.value = session.type.worth() * tenantWorth(now, request, newRequests);
            session.rung = session.type.floor();
        }
        sessions.put(request.id(), session);
        return session;
    }

    /**
     * Factor on the worth of a tenant's session, which protects the shares of other tenants: the part of its requests
     * that exceeds its quota counts at the lower worth beyond the share. Only first tries count as requests, not
     * sessions taken over. Single quotas may be rounded, so the sum of all quotas is split by share.
     */
    private double tenantWorth(double now, Request request, int newRequests) {
        Tenant tenant = request.tenant() == null ? null : tenants.get(request.tenant());
        double totalQuotaPerS = settings.tenants().stream()
                .mapToDouble(Tenant::quotaPerS)
                .filter(quotaPerS -> quotaPerS > 0)
                .sum();
        if (tenant == null || totalQuotaPerS == 0) {
            return 1;
        }
        double[] rate = tenantRates.computeIfAbsent(tenant.name(), n -> new double[] {0, now});
        rate[0] = rate[0] * Math.exp((rate[1] - now) / RATE_AVERAGE_MS) + newRequests;
        rate[1] = now;
        double requestsPerS = Math.max(1e-6, rate[0] * 1000 / RATE_AVERAGE_MS * settings.fronts());
        double withinQuota = Math.min(1, tenant.share() * totalQuotaPerS / requestsPerS);
        return withinQuota + (1 - withinQuota) * settings.overShareWorth();
    }

    @Override
    public void takenOver(double now, Request request, String server) {
        Session session = addSession(now, request, 0);
        Holder holder = holders.get(server);
        if (session.type == null || holder == null) {
            sessions.remove(session.request.id());
            return;
        }
        session.holder = holder;
        session.playing = true;
        session.playingSince = now;
        session.attempts = 1;
        session.mayHaveRun = true;
        session.kbPerS = kbPerS(session.type, session.rung);
        holder.playing.add(session);
        addLoad(now, holder, session.kbPerS, 0);
        holder.lastContactAt = now;
        // A server with sessions under way has not just started.
        if (Double.isNaN(holder.server.startedAt())) {
            holder.coldUntil = NEVER;
        }
    }

    @Override
    public void playing(double now, String id, String server, double tookMs) {
        Session session = sessions.get(id);
        if (session == null || session.holder == null || !session.settingUp) {
            return;
        }
        Holder holder = session.holder;
        session.settingUp = false;
        holder.pendingSetUps--;
        session.playing = true;
        session.playingSince = now;
        holder.playing.add(session);
        holder.setUpDelayMs = Double.isNaN(holder.setUpDelayMs) ? tookMs : 0.7 * holder.setUpDelayMs + 0.3 * tookMs;
        recordSuccess(now, holder);
    }

    @Override
    public void note(double now, String id, String server, NoteKind kind, double value) {
        Holder holder = holders.get(server);
        Session session = sessions.get(id);
        if (kind == NoteKind.RUNG) {
            if (session != null && session.holder == holder && session.playing) {
                double kbPerS = kbPerS(session.type, (int) value);
                addLoad(now, holder, kbPerS - session.kbPerS, 0);
                session.kbPerS = kbPerS;
                session.rung = (int) value;
            }
            return;
        }
        if (holder == null) {
            return;
        }
        // A note at set-up is current, later ones are seeMs old.
        boolean atSetUp = session != null && session.playing && now - session.playingSince < settings.seeMs() / 2;
        double measuredAt = now - (atSetUp ? 0 : settings.seeMs());
        if (measuredAt > holder.failedAt) {
            holder.lastContactAt = now;
            if (holder.failures > 0) {
                recordSuccess(now, holder);
            }
        }
        switch (kind) {
            case DELIVERED -> {
                holder.shortfall = value < 0.98 ? 1 - value : 0;
                holder.shortfallAt = now;
                if (value < 0.98) {
                    // The link or the uplink limits the delivery: the estimate of the fuller one is raised to match.
                    // Measurements may fail to arrive, so an uplink without a recent one counts as full.
                    LinkLoad uplink = holder.rack.uplink;
                    double uplinkUtilization = now - uplink.estimateAt > 2 * settings.tellMs() + settings.seeMs()
                            ? 1
                            : uplink.utilization(now, 0);
                    LinkLoad limiting = holder.link.isFresh(now) && uplinkUtilization > holder.link.utilization(now, 0)
                            ? uplink
                            : holder.link;
                    limiting.update(
                            measuredAt, Math.max(1 / Math.max(value, 0.2), limiting.estimate), MEASUREMENT_WEIGHT);
                    measured.add(holder);
                }
            }
            case LINK_USE -> updateLink(holder, measuredAt, value, MEASUREMENT_WEIGHT);
            default -> holder.rack.uplink.update(measuredAt, value, MEASUREMENT_WEIGHT / 2);
        }
    }

    private void updateLink(Holder holder, double measuredAt, double value, double weight) {
        holder.link.update(measuredAt, value, weight);
        measured.add(holder);
    }

    @Override
    public void ended(double now, String id, boolean closed, Outcome outcome, String server, Load load) {
        Session session = sessions.get(id);
        Holder holder = server == null ? null : holders.get(server);
        if (holder != null && load != null) {
            updateLink(holder, now - REPORT_AGE_MS, load.link(), MEASUREMENT_WEIGHT / 2);
            holder.rack.uplink.update(now - REPORT_AGE_MS, load.uplink(), MEASUREMENT_WEIGHT / 3);
        }
        if (holder != null) {
            switch (outcome) {
                case OK -> recordSuccess(now, holder);
                case FULL -> holder.fullUntil = now + settings.seeMs();
                case TIMEOUT, CONNECT_FAILED, RESET, ERROR -> recordFailure(now, holder);
                default -> {}
            }
        }
        if (session == null) {
            return;
        }
        boolean wasSettingUp = session.settingUp;
        detach(now, session);
        if (closed) {
            sessions.remove(session.request.id());
            return;
        }
        if (!wasSettingUp) {
            return;
        }
        session.mayHaveRun |= !outcome.neverRan();
        session.tried.add(holder);
        if (outcome == Outcome.MOOT || (session.mayHaveRun && session.type.once())) {
            refuseOrFail(session);
        } else {
            placeSession(now, session);
        }
    }

    @Override
    public void gone(double now, String id) {
        Session session = sessions.get(id);
        if (session != null) {
            detach(now, session);
            sessions.remove(session.request.id());
        }
    }

    @Override
    public void timer(double now, String timerKey) {
        if (timerKey.equals("sweep")) {
            actions.timer("sweep", SWEEP_INTERVAL_MS);
            sweep(now);
            return;
        }
        Session session = sessions.get(timerKey);
        if (session != null && session.waiting) {
            session.waiting = false;
            placeSession(now, session);
        }
    }

    // ---- choice of holder

    /** Sends the session to the holder with the smallest index, waits for a cold one, or gives the final answer. */
    private void placeSession(double now, Session session) {
        ServiceClass type = session.type;
        if (now > session.deadline - ANSWER_MARGIN_MS
                || session.attempts >= settings.maxAttempts()
                || (session.attempts > 0 && !retryAllowed(now))
                || allSeatsTaken(session)) {
            refuseOrFail(session);
            return;
        }
        Holder best = null;
        double bestPi = Double.MAX_VALUE;
        double shortestWaitMs = Double.MAX_VALUE;
        averageUtilization = computeAverageUtilization(now);
        for (Holder holder : holdersOf(session.request)) {
            if (!isUsable(now, holder, session)) {
                continue;
            }
            double waitMs = timeToNextColdSetUpMs(now, holder);
            if (waitMs > 0) {
                shortestWaitMs = Math.min(shortestWaitMs, waitMs);
                continue;
            }
            double pi = placementIndex(now, holder, session)
                    + (holder.link.isFresh(now) ? 0 : -random.nextDouble() * UNKNOWN_LOAD_SPREAD);
            if (pi < bestPi) {
                bestPi = pi;
                best = holder;
            }
        }
        if (best == null) {
            double waitUntil = Math.min(session.receivedAt + MAX_WAIT_SHARE * type.aimMs(), session.deadline);
            if (now + shortestWaitMs < waitUntil - ANSWER_MARGIN_MS) {
                session.waiting = true;
                actions.timer(session.request.id(), shortestWaitMs);
            } else {
                refuseOrFail(session);
            }
            return;
        }
        double floorUtilization = utilization(now, best) + addedUtilization(now, best, kbPerS(type, type.floor()));
        double refusalThreshold = allowedUtilization(stepsAboveTarget(session, type.floor())) + REFUSAL_MARGIN;
        boolean loadKnown = best.link.isFresh(now) || best.rack.uplink.isFresh(now);
        if (loadKnown && floorUtilization > refusalThreshold && !session.mayHaveRun && session.attempts == 0) {
            refuseOrFail(session);
            return;
        }
        send(now, session, best);
    }

    private List<Holder> holdersOf(Request request) {
        List<Holder> found = new ArrayList<>();
        for (int i = 0; i < Math.min(request.copies(), settings.cells()); i++) {
            found.addAll(cells.getOrDefault(Math.floorMod(request.home() + i, settings.cells()), Set.of()));
        }
        return found;
    }

    /** Placement index (PI) of a holder: load, set-up delay with the price of crossing zones, session weight. */
    private double placementIndex(double now, Holder holder, Session session) {
        double linkLoad = utilization(now, holder)
                + holder.link.overloadPenalty(now)
                + addedUtilization(
                        now, holder, kbPerS(session.type, settings.rungKb().size() / 2));
        double relativeDelay = Double.isNaN(holder.setUpDelayMs) ? 0 : holder.setUpDelayMs / session.type.aimMs();
        boolean crossesZones = settings.zone() != null && !settings.zone().equals(holder.server.zone());
        double setUpCost = relativeDelay + (crossesZones ? settings.crossZonePrice() / SET_UP_DELAY_WEIGHT : 0);
        double sessionWeight = (double) session.rung / settings.rungKb().size();
        return LOAD_WEIGHT * linkLoad + SET_UP_DELAY_WEIGHT * setUpCost + RUNG_WEIGHT * sessionWeight;
    }

    /** Utilization of the fuller of link and uplink: the last estimate with the changes since. */
    private double utilization(double now, Holder holder) {
        return Math.max(
                holder.link.utilization(now, averageUtilization),
                holder.rack.uplink.utilization(now, averageUtilization));
    }

    private double addedUtilization(double now, Holder holder, double kbPerS) {
        double warmth = now < holder.coldUntil ? settings.rules().coldShare() : 1;
        return kbPerS / Math.min(holder.link.capacity() * warmth, holder.rack.uplink.capacity());
    }

    private double computeAverageUtilization(double now) {
        double sum = 0;
        int known = 0;
        measured.removeIf(holder -> !holder.link.isFresh(now));
        for (Holder holder : measured) {
            if (holder.isListed()) {
                LinkLoad uplink = holder.rack.uplink;
                double uplinkUtilization = uplink.isFresh(now) ? uplink.utilization(now, averageUtilization) : 0;
                sum += Math.max(holder.link.utilization(now, averageUtilization), uplinkUtilization);
                known++;
            }
        }
        return known == 0 ? TARGET_UTILIZATION : sum / known;
    }

    private boolean isUsable(double now, Holder holder, Session session) {
        if (holder.server.state() != ServerState.READY
                || session.tried.contains(holder)
                || now < holder.fullUntil
                || now < holder.avoidUntil) {
            return false;
        }
        // A server that failed is probed with one session at a time, of a class that may be retried elsewhere.
        return holder.failures == 0 || (holder.pendingSetUps == 0 && !session.type.once());
    }

    private boolean allSeatsTaken(Session session) {
        int seats = session.type.seats();
        if (seats == 0) {
            return false;
        }
        return sessions.values().stream()
                        .filter(other -> (other.settingUp || other.playing)
                                && other.type == session.type
                                && Objects.equals(other.request.title(), session.request.title()))
                        .count()
                >= seats;
    }

    // ---- set-up and its outcomes

    private void send(double now, Session session, Holder holder) {
        int rung = initialRung(now, session, holder);
        if (rung != session.type.floor() || session.attempts > 0) {
            actions.rate(session.request.id(), rung);
        }
        session.rung = rung;
        session.kbPerS = kbPerS(session.type, rung);
        session.holder = holder;
        session.settingUp = true;
        holder.pendingSetUps++;
        addLoad(now, holder, session.kbPerS, session.kbPerS);
        if (session.attempts > 0) {
            recordAttempt(now, retryTimes);
        }
        session.attempts++;
        if (now < holder.coldUntil || holder.failures > 0) {
            holder.coldSendTimes.add(now);
        }
        // An attempt that may be retried times out early. After a time-out, a session paid for at set-up can't be
        // retried, so its attempt gets all the time that is left.
        double until = session.type.once()
                ? session.deadline
                : Math.min(session.deadline, now + ATTEMPT_TIMEOUT_SHARE * session.type.aimMs());
        actions.send(session.request.id(), until, holder.server.id());
    }

    private void refuseOrFail(Session session) {
        sessions.remove(session.request.id());
        if (session.mayHaveRun && session.type.once()) {
            actions.fail(session.request.id());
        } else {
            actions.refuse(session.request.id(), Math.min(RETRY_AFTER_MS, settings.maxRetryAfterMs()));
        }
    }

    /** Whether the budget of retries, if the settings state one, permits another. */
    private boolean retryAllowed(double now) {
        Rules rules = settings.rules();
        if (Double.isNaN(rules.attemptWindowMs())) {
            return true;
        }
        removeUntil(requestTimes, now - rules.attemptWindowMs());
        removeUntil(retryTimes, now - rules.attemptWindowMs());
        return retryTimes.size() + 1 <= rules.spareAttempts() + rules.attemptShare() * requestTimes.size();
    }

    /** Counts an attempt if the settings state a budget of retries. */
    private void recordAttempt(double now, ArrayDeque<Double> times) {
        if (!Double.isNaN(settings.rules().attemptWindowMs())) {
            removeUntil(times, now - settings.rules().attemptWindowMs());
            times.add(now);
        }
    }

    private static void removeUntil(ArrayDeque<Double> times, double until) {
        while (!times.isEmpty() && times.peek() <= until) {
            times.poll();
        }
    }

    private void detach(double now, Session session) {
        if (session.holder != null) {
            session.holder.pendingSetUps -= session.settingUp ? 1 : 0;
            session.holder.playing.remove(session);
            addLoad(now, session.holder, -session.kbPerS, -session.kbPerS);
        }
        session.holder = null;
        session.kbPerS = 0;
        session.settingUp = false;
        session.playing = false;
    }

    /** Adds a change of load, kB a second, to the estimates of a server's link and of its rack's uplink. */
    private static void addLoad(double now, Holder holder, double ownChange, double totalChange) {
        holder.link.addChange(now, ownChange, totalChange);
        holder.rack.uplink.addChange(now, ownChange, totalChange);
    }

    // ---- rungs

    private double kbPerS(ServiceClass type, int rung) {
        return type.scale() * settings.rungKb().get(rung);
    }

    /** Worth gained for each kB a second by the step up to a rung of the ladder. */
    private double stepWorthPerKb(int rung) {
        return Math.max(
                        1e-9,
                        settings.rungWorth().get(rung) - settings.rungWorth().get(rung - 1))
                / (settings.rungKb().get(rung) - settings.rungKb().get(rung - 1));
    }

    /** Steps of utilization above the target up to which a rung is kept, by the worth of the step up to that rung. */
    private double stepsAboveTarget(Session session, int rung) {
        int floor = session.type.floor();
        double worth = (rung > floor
                        ? stepWorthPerKb(rung)
                        : settings.rungWorth().get(floor) / settings.rungKb().get(floor))
                * session.value
                / session.type.scale();
        return Math.max(0, Math.log(worth / stepWorthPerKb(settings.rungKb().size() - 1)) / logWorthStep);
    }

    private int topRung(Session session) {
        return Math.max(
                session.type.floor(),
                Math.min(
                        session.request.top(),
                        Math.min(session.type.top(), settings.rungKb().size() - 1)));
    }

    /** Utilization up to which a rung is kept, from its steps above the target. */
    private static double allowedUtilization(double steps) {
        return Math.min(MAX_UTILIZATION, TARGET_UTILIZATION + UTILIZATION_STEP * steps);
    }

    /** The rung rule at set-up: the highest rung whose load keeps the utilization within what that rung allows. */
    private int initialRung(double now, Session session, Holder holder) {
        double utilization = utilization(now, holder) + holder.link.overloadPenalty(now);
        int rung = topRung(session);
        while (rung > session.type.floor()
                && utilization + addedUtilization(now, holder, kbPerS(session.type, rung))
                        > allowedUtilization(stepsAboveTarget(session, rung))) {
            rung--;
        }
        return rung;
    }

    /** Applies the rung rule to the sessions of a rack whose links were measured since their last evaluation. */
    private void adjustRungs(double now, List<Session> playing) {
        List<Session> adjustable = new ArrayList<>(playing);
        adjustable.removeIf(session -> now - session.rungChangedAt < MIN_RUNG_INTERVAL_MS
                || session.evaluatedUpdates == session.holder.linkUpdates());
        adjustable.sort(Comparator.comparingDouble(session -> stepsAboveTarget(session, session.rung)));
        for (Session session : adjustable) {
            if (session.rung <= session.type.floor()) {
                break;
            }
            adjustRung(now, session, false);
        }
        Collections.reverse(adjustable);
        for (Session session : adjustable) {
            LinkLoad link = session.holder.link;
            LinkLoad uplink = session.holder.rack.uplink;
            session.evaluatedUpdates = session.holder.linkUpdates();
            // Capacity that steps down have just freed is not used for steps up at once, to prevent oscillation.
            boolean recentlyStepped =
                    now - Math.max(session.rungChangedAt, Math.max(link.steppedDownAt, uplink.steppedDownAt))
                            < MIN_RUNG_INTERVAL_MS;
            if (!recentlyStepped
                    && now - session.playingSince >= settings.seeMs()
                    && link.isFresh(now)
                    && uplink.isFresh(now)
                    && session.holder.failures == 0
                    && session.holder.server.state() == ServerState.READY) {
                adjustRung(now, session, true);
            }
        }
    }

    /**
     * Sets the highest rung that keeps the utilization within what it allows, if all fronts that know the same
     * measurement react alike. Where a whole step is too coarse, the upper rung is drawn at random, with a probability
     * that makes the expected sum over all sessions right.
     */
    private void adjustRung(double now, Session session, boolean up) {
        int rung = up ? topRung(session) : session.rung;
        int lowestRung = up ? session.rung : session.type.floor();
        double margin = up ? STEP_UP_MARGIN + session.holder.link.overloadPenalty(now) : -STEP_DOWN_MARGIN;
        double probability = 0;
        while (rung > lowestRung && probability <= 0) {
            double excess = excessUtilization(now, session, rung);
            double stepUtilization = excess - excessUtilization(now, session, rung - 1);
            probability = Math.min(1, 1 - (up ? 1 : STEP_DOWN_GAIN) * (excess + margin) / stepUtilization);
            rung--;
        }
        if (probability <= 0 && (up || session.rung == lowestRung)) {
            return;
        }
        // A random draw gives the session the lower rung or the one above. All fronts draw independently, so the
        // estimate of the total load changes by the expected value of the draw, and this front's own load by the
        // actual result.
        double stepKbPerS = probability <= 0 ? 0 : kbPerS(session.type, rung + 1) - kbPerS(session.type, rung);
        double expectedChange = kbPerS(session.type, rung) + probability * stepKbPerS - session.kbPerS;
        int chosenRung = probability > 0 && random.nextDouble() < probability ? rung + 1 : rung;
        double ownChange = kbPerS(session.type, chosenRung) - session.kbPerS;
        for (LinkLoad load : List.of(session.holder.link, session.holder.rack.uplink)) {
            load.addChange(
                    now,
                    ownChange,
                    expectedChange
                            * load.totalToOwnLoadRatio(load.utilization(now, averageUtilization), settings.fronts()));
            load.steppedDownAt = chosenRung < session.rung ? now : load.steppedDownAt;
        }
        if (chosenRung != session.rung) {
            session.kbPerS += ownChange;
            session.rung = chosenRung;
            session.rungChangedAt = now;
            actions.rate(session.request.id(), chosenRung);
        }
    }

    /** How far the fuller of link and uplink would exceed the allowed utilization with this session at a rung. */
    private double excessUtilization(double now, Session session, int rung) {
        double maxUtilization = 0;
        for (LinkLoad load : List.of(session.holder.link, session.holder.rack.uplink)) {
            double utilization = load.utilization(now, averageUtilization);
            double added = (kbPerS(session.type, rung) - session.kbPerS)
                    * load.totalToOwnLoadRatio(utilization, settings.fronts())
                    / load.capacity();
            maxUtilization = Math.max(maxUtilization, load.isFresh(now) ? utilization + added : 0);
        }
        return maxUtilization - allowedUtilization(stepsAboveTarget(session, rung));
    }

    // ---- the sweep: rungs first, then moves

    private void sweep(double now) {
        averageUtilization = computeAverageUtilization(now);
        removeGoneHolders(now);
        Map<Rack, List<Session>> byRack = new LinkedHashMap<>();
        List<Holder> withSessions = new ArrayList<>();
        for (Holder holder : holders.values()) {
            if (!holder.playing.isEmpty()) {
                withSessions.add(holder);
                byRack.computeIfAbsent(holder.rack, r -> new ArrayList<>()).addAll(holder.playing);
            }
        }
        byRack.values().forEach(playing -> adjustRungs(now, playing));
        for (Holder holder : holders.values()) {
            if (isSilent(now, holder, withSessions)) {
                recordFailure(now, holder);
            }
            updateShortfall(now, holder);
            moveSessions(now, holder);
        }
        recentMoves.values().removeIf(move -> now - move.movedAt > MIN_MOVE_INTERVAL_MS);
    }

    private void removeGoneHolders(double now) {
        double retentionMs = Math.max(GONE_RETENTION_MS, settings.rules().coldMs());
        holders.values()
                .removeIf(holder -> !holder.isListed()
                        && now - holder.goneAt > retentionMs
                        && holder.playing.isEmpty()
                        && holder.pendingSetUps == 0);
    }

    /**
     * Updates the average of the share of its sessions' rates that a server fails to deliver. A server that is silent,
     * draining or gone counts as delivering nothing.
     */
    private void updateShortfall(double now, Holder holder) {
        double shortfall = now - holder.shortfallAt < 2500 ? holder.shortfall : 0;
        boolean deliversNothing = holder.server.state() != ServerState.READY
                || (holder.failures > 0
                        && now - holder.lastContactAt > SILENT_INTERVALS * settings.tellMs() + settings.seeMs());
        double smoothing = SWEEP_INTERVAL_MS / SHORTFALL_AVERAGE_MS;
        holder.meanShortfall += smoothing * ((deliversNothing ? 1 : shortfall) - holder.meanShortfall);
        holder.movedKbPerS *= 1 - SWEEP_INTERVAL_MS / (SHORTFALL_AVERAGE_MS + EXCESS_DURATION_MS);
    }

    private void moveSessions(double now, Holder holder) {
        double shortfallCost = settings.stall() * holder.meanShortfall;
        if (shortfallCost <= 0) {
            // No index is below 0, so CCQ can't exceed SO for any of its sessions.
            holder.playing.forEach(session -> session.excessSince = Double.NaN);
            return;
        }
        double shortfallKbPerS = holder.meanShortfall * holder.link.ownKbPerS;
        for (Session session : new ArrayList<>(holder.playing)) {
            if (now - session.playingSince < SHORTFALL_AVERAGE_MS || now - session.movedAt < MIN_MOVE_INTERVAL_MS) {
                continue;
            }
            List<Holder> others = holdersOf(session.request);
            others.removeIf(other ->
                    other != holder && (!isUsable(now, other, session) || timeToNextColdSetUpMs(now, other) > 0));
            others.sort(Comparator.comparingDouble(other -> placementIndex(now, other, session)));
            Holder target =
                    others.stream().filter(other -> other != holder).findFirst().orElse(null);
            if (target == null
                    || shortfallCost
                            <= MOVE_THRESHOLD_FACTOR
                                    * placementIndex(now, others.get(Math.min(1, others.size() - 1)), session)) {
                session.excessSince = Double.NaN;
                continue;
            }
            if (Double.isNaN(session.excessSince)) {
                session.excessSince = now + random.nextDouble() * EXCESS_DURATION_MS / 2;
            }
            double floorUtilization = utilization(now, target)
                    + target.link.overloadPenalty(now)
                    + addedUtilization(now, target, kbPerS(session.type, session.type.floor()));
            if (now - session.excessSince < EXCESS_DURATION_MS
                    || holder.movedKbPerS >= shortfallKbPerS
                    || floorUtilization > TARGET_UTILIZATION) {
                continue;
            }
            holder.movedKbPerS += session.kbPerS;
            session.movedAt = now;
            recentMoves.put(session.request.key(), new RecentMove(holder, now));
            actions.move(session.request.id());
        }
    }

    // ---- health

    /** A server failed an attempt, lost a session or is silent: it is avoided, then probed with one session. */
    private void recordFailure(double now, Holder holder) {
        if (now - holder.failedAt > settings.seeMs() || holder.failures == 0) {
            holder.failures++;
            double avoidMs = Math.min(MAX_AVOID_MS, INITIAL_AVOID_MS * Math.pow(2, holder.failures - 1.0));
            holder.avoidUntil = now + avoidMs * (0.8 + 0.4 * random.nextDouble());
            if (holder.failures == 1) {
                actions.log("avoiding " + holder.server.id());
            }
        }
        holder.failedAt = now;
    }

    /**
     * A server proved to be working. After a failure it may have restarted, which the list does not show at once, so
     * it counts as cold. A session that plays on from before the failure excludes this: then only an answer was lost.
     */
    private void recordSuccess(double now, Holder holder) {
        if (holder.failures > 0) {
            if (holder.playing.isEmpty() || holder.playing.iterator().next().playingSince >= holder.failedAt) {
                holder.coldUntil = Math.max(holder.coldUntil, now + UNLISTED_RESTART_MS);
            }
            actions.log("trusting " + holder.server.id());
        }
        holder.failures = 0;
        holder.avoidUntil = NEVER;
        holder.lastContactAt = now;
    }

    /** Detects servers that vanish: their notes are overdue while most other servers still send theirs. */
    private boolean isSilent(double now, Holder holder, List<Holder> withSessions) {
        if (settings.tellMs() <= 0 || holder.failures > 0 || holder.playing.isEmpty()) {
            return false;
        }
        double oldestPlayingSince = holder.playing.iterator().next().playingSince;
        double overdueMs = SILENT_INTERVALS * settings.tellMs() + settings.seeMs();
        if (now - Math.max(oldestPlayingSince, holder.lastContactAt) < overdueMs) {
            return false;
        }
        int others = 0;
        int reporting = 0;
        for (Holder other : withSessions) {
            if (other != holder && !other.playing.isEmpty() && other.failures == 0) {
                others++;
                reporting += now - other.lastContactAt < settings.tellMs() ? 1 : 0;
            }
        }
        return others > 1 && reporting >= MIN_REPORTING_SHARE * others;
    }

    // ---- cold pacing

    /**
     * Returns the time until this front may send a cold server its next set-up, ms; 0 where the server is warm and has
     * not failed. The fronts share the server's budget without communicating: each uses a fixed part of it within any
     * window. Where that part is less than one set-up, the window is longer, and its start is drawn at random within
     * the first window.
     */
    private double timeToNextColdSetUpMs(double now, Holder holder) {
        if (now >= holder.coldUntil && holder.failures == 0) {
            return 0;
        }
        double windowMs = coldBudgetWindowMs(holder);
        removeUntil(holder.coldSendTimes, now - windowMs);
        if (holder.coldSendTimes.size() < Math.max(1, (int) coldSetUpsPerWindow(holder))) {
            return Math.max(0, holder.coldPacingFrom - now);
        }
        return Math.max(1, holder.coldSendTimes.peek() + windowMs - now);
    }

    /** This front's part of the set-ups that a cold server can take within {@code fallMs}. */
    private double coldSetUpsPerWindow(Holder holder) {
        Rules rules = settings.rules();
        return COLD_BUDGET_SHARE
                * rules.fallMultiple()
                * rules.coldShare()
                * capacities.maxStreams(holder.server.kind())
                / rules.coldMs()
                * rules.fallMs()
                / Math.max(1, settings.fronts());
    }

    /** Time in which this front may send a cold server its part of the set-ups, or one where the part is less, ms. */
    private double coldBudgetWindowMs(Holder holder) {
        return settings.rules().fallMs() / Math.min(1, coldSetUpsPerWindow(holder));
    }
}
