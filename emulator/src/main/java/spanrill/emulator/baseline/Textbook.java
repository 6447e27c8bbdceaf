package spanrill.emulator.baseline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import spanrill.SessionControl;

/**
 * A textbook rule: a {@link Chooser} for the holder, a {@link RungRule} for the rung, another holder after an
 * attempt that may be made again. It keeps paid sessions, drains, floors, seats and the budget of attempts;
 * it knows nothing of cold servers, health, moves or worth.
 */
public final class Textbook implements SessionControl {
    private static final double MARGIN_MS = 20;

    private static final class Held {
        private final Request request;
        private final ServiceClass type;
        private final double deadline;
        private final Set<String> tried = new HashSet<>();
        private Holder at;
        private boolean plays;
        private boolean mayHaveRun;
        private int attempts;
        private int rung;

        Held(Request request, ServiceClass type, double deadline) {
            this.request = request;
            this.type = type;
            this.deadline = deadline;
        }

        int top() {
            return Math.max(type.floor(), Math.min(type.top(), request.top()));
        }
    }

    private final Settings settings;
    private final Actions act;
    private final Chooser chooser;
    private final RungRule rungs;
    private final SplittableRandom random;
    private final Map<String, Holder> servers = new LinkedHashMap<>();
    private final Map<String, Held> sessions = new HashMap<>();
    private final ArrayDeque<Double> taken = new ArrayDeque<>();
    private final ArrayDeque<Double> further = new ArrayDeque<>();

    /** A rule for one front. */
    public Textbook(Chooser chooser, RungRule rungs, Settings settings, long seed, Actions act) {
        this.chooser = chooser;
        this.rungs = rungs;
        this.settings = settings;
        this.act = act;
        random = new SplittableRandom(seed);
    }

    @Override
    public void start(double now) {}

    @Override
    public void servers(double now, ListKind kind, List<Server> told) {
        if (kind == ListKind.FAILED) {
            return;
        }
        if (kind != ListKind.CHANGES) {
            servers.values().forEach(holder -> holder.state = ServerState.GONE);
        }
        for (Server server : told) {
            Holder holder = servers.computeIfAbsent(server.id(), Holder::new);
            holder.cell = server.cell();
            holder.state = server.state();
        }
    }

    @Override
    public void request(double now, Request request) {
        taken.add(now);
        ServiceClass type = settings.classes().stream()
                .filter(c -> c.name().equals(request.className()))
                .findFirst()
                .orElseThrow();
        Held held = new Held(request, type, now + request.leftMs() - MARGIN_MS);
        held.rung = rungs.first(type.floor(), held.top());
        sessions.put(request.id(), held);
        next(now, held);
    }

    private boolean seatFree(Held held) {
        return held.type.seats() == 0
                || sessions.values().stream()
                                .filter(s -> s.at != null
                                        && s.type == held.type
                                        && s.request.title().equals(held.request.title()))
                                .count()
                        < held.type.seats();
    }

    private void next(double now, Held held) {
        List<Holder> holders = new ArrayList<>();
        for (Holder holder : servers.values()) {
            int place = Math.floorMod(holder.cell - held.request.home(), settings.cells());
            if (holder.state == ServerState.READY && place < held.request.copies() && !held.tried.contains(holder.id)) {
                holders.add(holder);
            }
        }
        boolean may = held.attempts == 0 || (held.attempts < settings.maxAttempts() && budget(now));
        if (holders.isEmpty() || !may || now >= held.deadline || !seatFree(held)) {
            sessions.remove(held.request.id());
            if (held.mayHaveRun && held.type.once()) {
                act.fail(held.request.id());
            } else {
                act.refuse(held.request.id(), settings.maxRetryAfterMs());
            }
            return;
        }
        if (held.attempts++ > 0) {
            further.add(now);
        }
        double mean =
                servers.values().stream().mapToInt(h -> h.sessions).average().orElse(0);
        Holder to = chooser.choose(holders, held.request.title(), mean, random);
        held.tried.add(to.id);
        held.at = to;
        to.sessions++;
        act.rate(held.request.id(), held.rung);
        double wait = held.type.once() ? held.deadline - now : Math.min(held.deadline - now, held.type.aimMs());
        act.send(held.request.id(), now + wait, to.id);
    }

    private boolean budget(double now) {
        Rules rules = settings.rules();
        if (Double.isNaN(rules.attemptWindowMs())) {
            return true;
        }
        taken.removeIf(t -> t <= now - rules.attemptWindowMs());
        further.removeIf(t -> t <= now - rules.attemptWindowMs());
        return further.size() + 1 <= rules.spareAttempts() + rules.attemptShare() * taken.size();
    }

    @Override
    public void takenOver(double now, Request request, String server) {}

    @Override
    public void playing(double now, String request, String server, double tookMs) {
        Held held = sessions.get(request);
        if (held != null) {
            held.plays = true;
        }
    }

    @Override
    public void ended(double now, String request, boolean closed, Outcome outcome, String server, Load load) {
        Holder holder = servers.get(server);
        if (holder != null && load != null) {
            holder.heard(load.link(), load.uplink());
        }
        Held held = sessions.get(request);
        if (held == null || held.at == null) {
            return;
        }
        held.at.sessions--;
        held.at = null;
        held.mayHaveRun |= !outcome.neverRan();
        if (closed || held.plays) {
            sessions.remove(request);
        } else if (held.type.once() && held.mayHaveRun) {
            sessions.remove(request);
            act.fail(request);
        } else {
            next(now, held);
        }
    }

    @Override
    public void note(double now, String request, String server, NoteKind kind, double value) {
        Held held = sessions.get(request);
        Holder holder = servers.get(server);
        if (held == null || holder == null) {
            return;
        }
        int before = held.rung;
        switch (kind) {
            case LINK_USE -> holder.heard(value, Double.NaN);
            case UPLINK_USE -> {
                holder.heard(Double.NaN, value);
                // Told after the link's: all sessions of this front there go by the tighter of the two.
                for (Held each : sessions.values()) {
                    if (each.at == holder && each.plays) {
                        rate(each, rungs.afterUse(each.rung, holder.load(), each.type.floor(), each.top()));
                    }
                }
                return;
            }
            case DELIVERED -> rate(held, rungs.afterDelivered(before, value, held.type.floor()));
            default -> {}
        }
    }

    private void rate(Held held, int rung) {
        if (rung != held.rung) {
            held.rung = rung;
            act.rate(held.request.id(), rung);
        }
    }

    @Override
    public void gone(double now, String request) {
        Held held = sessions.remove(request);
        if (held != null && held.at != null) {
            held.at.sessions--;
        }
    }

    @Override
    public void timer(double now, String token) {}
}
