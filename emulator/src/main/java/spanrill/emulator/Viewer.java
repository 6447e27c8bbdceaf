package spanrill.emulator;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import spanrill.check.TraceEvent;
import spanrill.day.Arrival;
import spanrill.day.Day;
import spanrill.decisions.SessionEnd;
import spanrill.decisions.TrackRates;
import spanrill.model.RandomStreams;
import spanrill.model.player.Player;
import spanrill.model.player.Player.Action;
import spanrill.model.player.ViewerTraits;
import spanrill.session.Session;
import spanrill.session.ViewerCall;
import spanrill.session.ViewerRequest;
import spanrill.session.VirtualTimeScheduler;

/** One viewer in virtual time: does what its {@link Player} says, as one on sockets does. */
final class Viewer {
    private static final double TOKEN_MS = 900_000;
    private static final double LOOK_MS = 500;
    /** A moment more than the stated patience: an answer that comes late is still seen as late. */
    private static final double LATE_MS = 200;

    private final World world;
    private final Arrival arrival;
    private final ViewerTraits traits;
    private final Day day;
    private final UniformRandomProvider random;
    private final String name;
    private final String title;
    private final boolean waits;
    private Player player;
    private int tokens;
    private String tokenId;
    private double tokenExpires;
    private Front front;
    private int frontLife;
    private long ask;
    private boolean waiting;
    private VirtualTimeScheduler.Entry patience;
    private Call call;
    private String session;
    private Download download;

    Viewer(World world, Arrival arrival) {
        this.world = world;
        this.arrival = arrival;
        day = world.day();
        traits = arrival.traits();
        random = RandomStreams.of(traits.seed() + 1);
        name = "e-t" + arrival.number();
        title = "title-" + traits.title();
        waits = random.nextDouble() < day.viewers().waitForHall();
    }

    private double now() {
        return world.now();
    }

    /** A viewer is in the hall of its front, or as far from it as halls are. */
    private double way() {
        return world.halls().oneWayMs(traits.hall(), front.hall());
    }

    void come() {
        world.tap().record(new TraceEvent.ViewerArrived(now(), name, traits.serviceClass()));
        world.worth().came(name, this);
        player = new Player(traits, now(), day.viewers().returnMs());
        newToken();
        if (!waitsForHall()) {
            ask();
        }
    }

    /** True when a token is that of the session which it watches or asks for, and it still wants to watch. */
    boolean holds(String token) {
        return token.equals(tokenId) && now() < World.BEGIN_MS + arrival.atMs() + traits.watchMs();
    }

    private boolean waitsForHall() {
        return waits && world.watch().runWhenHealed(traits.hall(), () -> world.after(0, this::ask));
    }

    private void newToken() {
        tokens++;
        tokenId = name + "." + tokens;
        tokenExpires = now() + TOKEN_MS;
    }

    private void follow(Action next, String why) {
        if (next instanceof Action.Request again) {
            if (again.newToken()) {
                newToken();
            }
            world.figures().returns++;
            if (!waitsForHall()) {
                world.after(again.afterMs(), this::ask);
            }
        } else if (next instanceof Action.Fetch fetch) {
            if (fetch.afterMs() > 0) {
                world.after(fetch.afterMs(), () -> fetch(fetch));
            } else {
                fetch(fetch);
            }
        } else if (next instanceof Action.End end) {
            finish(end.lostPatience());
        } else {
            over(why);
        }
    }

    private void over(String why) {
        world.tap().record(new TraceEvent.ViewerDeparted(now(), name, why));
        world.worth().went(name);
        world.figures().playedMs += player.playedMs();
        world.figures().stalledMs += player.stalledMs();
        world.figures().stalls += player.stalls();
    }

    // ---- asking

    private void ask() {
        player.onRequestSent();
        boolean first = player.requestCount() == 1;
        front = world.fronts().get(world.choice().select(now(), traits.hall(), random.nextDouble()));
        frontLife = front.life();
        double way = way();
        if (!front.up()) {
            world.after(2 * way, () -> follow(player.onConnectionLost(now(), true), "no front"));
            return;
        }
        // The connection takes its way there and back before the request is written.
        world.after(2 * way, () -> {
            if (!front.up()) {
                follow(player.onConnectionLost(now(), true), "no front");
                return;
            }
            waiting = true;
            patience = world.after(traits.patienceMs() + LATE_MS, this::noAnswer);
            call = request(true);
            ask = call.number;
            if (traits.leaveAfterMs() >= 0 && first) {
                world.after(traits.leaveAfterMs(), this::leave);
            }
            if (traits.sendsTokenTwice() && first) {
                world.after(2 * way, () -> {
                    if (waiting) {
                        request(false);
                    }
                });
            }
        });
    }

    private Call request(boolean main) {
        Call made = new Call(main, front, front.life(), way(), tokenId, now());
        made.number = world.figures().nextAsk();
        world.tap()
                .record(new TraceEvent.Request(
                        now(),
                        made.number,
                        front.number(),
                        tokenId,
                        traits.serviceClass(),
                        title,
                        traits.patienceMs()));
        made.send();
        return made;
    }

    private void noAnswer() {
        if (waiting) {
            waiting = false;
            world.tap().record(new TraceEvent.RequestTimedOut(now(), ask));
            call.close();
            over("no answer");
        }
    }

    private void leave() {
        if (waiting) {
            waiting = false;
            patience.cancel();
            world.tap().record(new TraceEvent.RequestAborted(now(), ask, true));
            call.close();
            over("left");
        }
    }

    /** One request on its connection. */
    private final class Call implements ViewerCall {
        private final boolean main;
        private final Front at;
        private final int life;
        private final double way;
        private final String token;
        private final double askedAt;
        private long number;
        private boolean offered;
        private boolean answered;
        private boolean closed;
        private final Runnable lost = this::lost;

        Call(boolean main, Front at, int life, double way, String token, double askedAt) {
            this.main = main;
            this.at = at;
            this.life = life;
            this.way = way;
            this.token = token;
            this.askedAt = askedAt;
        }

        void send() {
            at.opened(lost);
            world.after(
                    way,
                    () -> at.run(life, () -> {
                        double arrivedAt = now();
                        at.runAfter(world.costs().tokenMs(), () -> {
                            if (!closed) {
                                offered = true;
                                at.core()
                                        .requestSession(
                                                new ViewerRequest(
                                                        token,
                                                        arrivedAt,
                                                        tokenExpires,
                                                        title,
                                                        traits.serviceClass(),
                                                        null,
                                                        "v" + arrival.number(),
                                                        Math.min(
                                                                traits.topRung(),
                                                                day.ladder()
                                                                                .kb()
                                                                                .size()
                                                                        - 1)),
                                                this);
                            }
                        });
                    }));
        }

        /** The viewer closes its connection. */
        void close() {
            closed = true;
            at.closed(lost);
            world.after(
                    way,
                    () -> at.run(life, () -> {
                        if (offered && !answered) {
                            at.core().cancelCall(this);
                        }
                    }));
        }

        private void lost() {
            if (!answered && !closed) {
                closed = true;
                world.tap().record(new TraceEvent.RequestAborted(now(), number, false));
                if (main && waiting) {
                    waiting = false;
                    patience.cancel();
                    follow(
                            player.onConnectionLost(
                                    now(),
                                    !day.classes().get(traits.serviceClass()).once()),
                            "front lost");
                }
            }
        }

        private void answer(int status, String answer, Runnable then) {
            answered = true;
            at.closed(lost);
            world.after(way, () -> {
                if (closed) {
                    return;
                }
                world.tap().record(new TraceEvent.Answer(now(), number, status, answer));
                if (main && waiting) {
                    waiting = false;
                    patience.cancel();
                    then.run();
                }
            });
        }

        @Override
        public void onPlaying(Session given) {
            List<Long> ladder = ladder(given);
            answer(200, "plays", () -> {
                world.figures().setUp(now() - askedAt);
                session = given.id();
                frontLife = life;
                long length = day.titles().segmentLengthsMs().get(0);
                int segments = (int) Math.ceil((double) day.titles().durationMs() / length);
                Action next = player.onPlaying(now(), ladder, length, segments);
                if (traits.replaysToken()) {
                    world.after(2 * way, () -> request(false));
                }
                // The initialization segment is asked for first.
                world.after(2 * way, () -> follow(next, "watched"));
            });
        }

        private List<Long> ladder(Session given) {
            List<Long> ladder = new ArrayList<>();
            int floor = given.type().floor();
            for (int rung = floor; rung <= Math.max(floor, given.rung()); rung++) {
                ladder.add(Math.round(day.ladder().kb().get(rung) * given.type().scale() * 8000));
            }
            return ladder;
        }

        @Override
        public void onRefused(double retryAfterMs) {
            // Retry-After knows whole seconds.
            double told = retryAfterMs > 0 ? Math.ceil(retryAfterMs / 1000) * 1000 : 0;
            answer(503, "refused", () -> follow(player.onRefused(now(), told), "refused"));
        }

        @Override
        public void onFailed() {
            answer(502, "failed", () -> over("failed"));
        }

        @Override
        public void onUnusable(ViewerCall.UnusableReason why) {
            answer(why == ViewerCall.UnusableReason.USED ? 403 : 503, "none", () -> over("not taken"));
        }
    }

    // ---- playing

    private void fetch(Action.Fetch fetch) {
        player.onFetchStarted(now());
        if (!front.up() || front.life() != frontLife) {
            broken(0, null);
            return;
        }
        download = new Download(fetch);
        download.send();
        if (!traits.neverReads()) {
            look(download);
        }
    }

    /** Looks from time to time whether the viewer still has patience with the segment under way. */
    private void look(Download under) {
        world.after(LOOK_MS, () -> {
            if (download != under) {
                return;
            }
            Action next = player.checkPatience(now());
            if (next == null) {
                look(under);
            } else {
                under.cancel();
                download = null;
                tooSlow();
            }
        });
    }

    private void finish(boolean lostPatience) {
        if (!lostPatience) {
            world.figures().finished++;
        }
        Front at = front;
        String ended = session;
        world.after(
                way(),
                () -> at.run(frontLife, () -> {
                    Session known = at.core().findSession(ended);
                    if (known != null && known.inPlay()) {
                        at.core().endSession(known);
                    }
                }));
        if (lostPatience) {
            tooSlow();
        } else {
            over("watched");
        }
    }

    private void tooSlow() {
        world.tap().record(new TraceEvent.SessionBroken(now(), tokenId, front.number(), -1, null));
        newToken();
        follow(player.onGaveUp(now()), "too slow");
    }

    private void broken(int status, SessionEnd end) {
        download = null;
        world.tap()
                .record(new TraceEvent.SessionBroken(
                        now(), tokenId, front.number(), status, end == null ? null : end.wireName()));
        follow(player.onConnectionLost(now(), true), "broken");
    }

    /** One segment, asked of the front, which asks the box. */
    private final class Download {
        private final Action.Fetch fetch;
        private final Relay relay;
        private boolean over;
        private final Runnable frontLost = this::frontLost;

        Download(Action.Fetch fetch) {
            this.fetch = fetch;
            double ms = lengthMs();
            double audio = TrackRates.audioRate(
                    day.titles().audioKb(),
                    kb(day.classes().get(traits.serviceClass()).floor()));
            relay = new Relay(
                    world,
                    front,
                    session,
                    fetch.rung() + day.classes().get(traits.serviceClass()).floor(),
                    rung -> Math.max(1, Math.round((TrackRates.videoRate(kb(rung), audio) + audio) * ms)),
                    this::came);
        }

        private double lengthMs() {
            List<Long> lengths = day.titles().segmentLengthsMs();
            return lengths.get((fetch.number() - 1) % lengths.size());
        }

        private double kb(int rung) {
            return day.ladder().kb().get(rung)
                    * day.classes().get(traits.serviceClass()).scale();
        }

        void send() {
            front.opened(frontLost);
            world.after(way(), () -> front.run(frontLife, relay::run));
        }

        void cancel() {
            over = true;
            front.closed(frontLost);
            relay.cancel();
        }

        private void frontLost() {
            if (!over) {
                over = true;
                relay.cancel();
                broken(0, null);
            }
        }

        private void came(Relay.Result result) {
            world.after(way(), () -> {
                if (over) {
                    return;
                }
                over = true;
                front.closed(frontLost);
                download = null;
                if (result.status() != 200) {
                    broken(result.status(), result.end());
                    return;
                }
                if (traits.neverReads()) {
                    return;
                }
                world.tap()
                        .record(new TraceEvent.SegmentReceived(
                                now(), tokenId, front.number(), result.rung(), result.bytes(), 0));
                world.figures().segments++;
                world.figures().bytes += result.bytes();
                world.figures().rungs += result.rung();
                follow(player.onSegmentReceived(now(), result.bytes() * 8.0, lengthMs()), "watched");
            });
        }
    }
}
