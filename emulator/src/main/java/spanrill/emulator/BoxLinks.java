package spanrill.emulator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.CancellationProof;
import spanrill.decisions.FailedSetUpAction;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.session.BoxClient;

/**
 * How one life of a front reaches boxes: each message takes its way, a connection is refused where nothing
 * listens, and what is written where nobody reads waits there. What a loss amounts to is decided by the same
 * classes as on sockets.
 */
final class BoxLinks implements BoxClient {
    private final World world;
    private final Front front;
    private final Set<SetUp> out = new LinkedHashSet<>();

    BoxLinks(World world, Front front) {
        this.world = world;
        this.front = front;
    }

    double way(Box box) {
        return world.halls().oneWayMs(front.hall(), box.hall());
    }

    @Override
    public Attempt setUp(BoxClient.SetUpRequest order, AttemptListener listener) {
        SetUp attempt = new SetUp(order, listener, world.box(order.box()));
        out.add(attempt);
        attempt.begin();
        return attempt;
    }

    @Override
    public void setRung(String id, String key, int rung) {
        Box box = world.box(id);
        Box.Wire wire = new Box.Wire();
        world.after(way(box), () -> {
            if (box.up()) {
                box.rung(front, key, rung, wire);
            }
        });
        world.after(world.costs().controlMs(), wire::close);
    }

    @Override
    public void release(String id, String key, Consumer<Load> done) {
        exchange(
                world.box(id),
                key,
                world.costs().controlMs(),
                answer -> done.accept(answer == null ? null : answer.load()));
    }

    /** Calls an attempt off; the answer, or null, comes once, within a time. */
    private void exchange(Box box, String key, double withinMs, Consumer<Box.CallOff> done) {
        boolean[] told = {false};
        Box.Wire wire = new Box.Wire();
        Consumer<Box.CallOff> once = answer -> {
            if (!told[0]) {
                told[0] = true;
                done.accept(answer);
            }
        };
        int life = front.life();
        world.after(way(box), () -> {
            if (!box.up()) {
                world.after(way(box), () -> front.run(life, () -> once.accept(null)));
            } else {
                box.callOff(
                        front,
                        key,
                        wire,
                        answer -> world.after(way(box), () -> front.run(life, () -> once.accept(answer))));
            }
        });
        world.after(
                withinMs,
                () -> front.run(life, () -> {
                    wire.close();
                    once.accept(null);
                }));
    }

    /** A box's process ended: connections that were open to it break. */
    void boxDied(Box box, double way, List<Box.Wire> open) {
        for (SetUp attempt : new ArrayList<>(out)) {
            if (attempt.box == box && open.contains(attempt.wire)) {
                front.runAfter(way, () -> attempt.finish(Event.RESET));
            }
        }
    }

    /** This life is over: all its connections end. */
    void frontDied() {
        out.forEach(attempt -> attempt.wire.close());
        out.clear();
    }

    /** One set-up on its way: the emulated twin of the one on sockets. */
    private final class SetUp implements Attempt, Box.SetUpReply {
        private final BoxClient.SetUpRequest order;
        private final AttemptListener listener;
        private final Box box;
        private final Box.Wire wire = new Box.Wire();
        private Stage stage = Stage.CONNECTING;
        private Load load;
        private double sentAt;
        private boolean settling;
        private boolean over;

        SetUp(BoxClient.SetUpRequest order, AttemptListener listener, Box box) {
            this.order = order;
            this.listener = listener;
            this.box = box;
        }

        void begin() {
            double way = way(box);
            if (!order.spends() && box.up()) {
                // A connection stands from before.
                write(way);
                return;
            }
            // What spends goes on a connection of its own.
            front.runAfter(2 * way, () -> {
                if (over) {
                    return;
                }
                if (box.up()) {
                    write(way);
                } else {
                    finish(Event.CONNECT_REFUSED);
                }
            });
        }

        private void write(double way) {
            stage = Stage.WRITTEN;
            sentAt = world.now();
            world.after(way, () -> {
                if (wire.closed()) {
                    return;
                }
                if (box.up()) {
                    box.setUp(front, order, wire, this);
                } else {
                    front.runAfter(way, () -> finish(Event.RESET));
                }
            });
        }

        @Override
        public void status(int status, String reason, Load told) {
            front.runAfter(way(box), () -> {
                load = told;
                finish(OutcomeTable.classifyStatus(status, reason));
            });
        }

        @Override
        public void plays() {
            front.runAfter(way(box), () -> {
                if (!over) {
                    over = true;
                    out.remove(this);
                    listener.onPlaying();
                }
            });
        }

        @Override
        public void lost() {
            front.runAfter(way(box), () -> finish(Event.CLOSED));
        }

        void finish(Event event) {
            if (over || settling) {
                return;
            }
            Outcome outcome = OutcomeTable.outcomeOf(stage, event);
            switch (FailedSetUpAction.choose(stage, outcome, order.spends())) {
                case QUERY_BOX -> {
                    settling = true;
                    exchange(box, order.key(), world.costs().settleMs(), answer -> {
                        boolean neverRan = answer != null
                                && CancellationProof.provesNeverRan(answer.ran(), answer.upMs(), world.now() - sentAt);
                        ended(neverRan ? OutcomeTable.outcomeOf(stage, Event.PROVEN_NEVER_RAN) : outcome);
                    });
                }
                case CANCEL -> {
                    exchange(box, order.key(), world.costs().controlMs(), answer -> {});
                    ended(outcome);
                }
                default -> ended(outcome);
            }
        }

        private void ended(Outcome outcome) {
            if (!over) {
                over = true;
                out.remove(this);
                listener.onEnded(outcome, load);
            }
        }

        @Override
        public Outcome abandon(Event why) {
            Outcome outcome = OutcomeTable.outcomeOf(stage, why);
            if (!over) {
                over = true;
                out.remove(this);
                if (stage != Stage.CONNECTING) {
                    world.after(way(box), wire::close);
                    if (!settling) {
                        exchange(box, order.key(), world.costs().controlMs(), answer -> {});
                    }
                }
            }
            return outcome;
        }
    }
}
