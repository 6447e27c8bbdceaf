package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import spanrill.decisions.ClientConnectionState.Phase;
import spanrill.decisions.ClientConnectionState.Step;
import spanrill.decisions.ClientConnectionState.View;

class ClientConnectionStateTest {
    private static final View QUIET = new View(0, false, false, false, true, true);
    private static final View BUSY = new View(2, false, false, false, true, true);
    private final ClientConnectionState state = new ClientConnectionState();

    @Test
    void openRequestsAreFailedBeforeTheOutputIsShutDown() {
        assertEquals(ClientConnectionState.RequestHandling.SERVE, state.requestHandling());
        state.startDrain(0, CloseReason.SHUTDOWN, 600);
        assertEquals(ClientConnectionState.RequestHandling.REFUSE, state.requestHandling());
        assertEquals(Step.NONE, state.nextStep(599, BUSY));
        assertEquals(Step.FAIL_OPEN_REQUESTS, state.nextStep(600, BUSY));
        assertEquals(Step.NONE, state.nextStep(601, new View(0, false, true, false, true, true)), "not flushed");
        assertEquals(Step.SHUT_DOWN_OUTPUT, state.nextStep(602, QUIET));
        assertEquals(Phase.CLOSING, state.phase());
        assertEquals(ClientConnectionState.RequestHandling.DISCARD, state.requestHandling());
        assertEquals(Step.NONE, state.nextStep(1101, QUIET));
        assertEquals(Step.CLOSE, state.nextStep(1102, QUIET), "the client does not close");
    }

    /** Requests that have arrived but are unread are refused and not dropped. */
    @Test
    void unreadInputIsReadBeforeTheOutputIsShutDown() {
        View unread = new View(0, false, false, false, true, false);
        state.startDrain(0, CloseReason.SHUTDOWN, 600);
        assertEquals(Step.READ_INPUT, state.nextStep(10, unread));
        assertEquals(ClientConnectionState.RequestHandling.REFUSE, state.requestHandling());
        assertEquals(Step.SHUT_DOWN_OUTPUT, state.nextStep(11, QUIET));
    }

    @Test
    void connectionWithoutOpenRequestsEndsAtOnce() {
        state.startDrain(0, CloseReason.EVICTED);
        assertEquals(Step.SHUT_DOWN_OUTPUT, state.nextStep(0, QUIET));
        ClientConnectionState unused = new ClientConnectionState();
        unused.startDrain(0, CloseReason.NOTHING_USEFUL);
        assertEquals(Step.CLOSE, unused.nextStep(0, new View(0, false, false, false, false, true)));
        ClientConnectionState noise = new ClientConnectionState();
        noise.startDrain(0, CloseReason.UNREADABLE);
        assertEquals(Step.CLOSE, noise.nextStep(0, new View(0, true, false, true, false, true)));
    }

    @Test
    void shutdownWaitsForRequestsInTransitAndForReleases() {
        state.startDrain(0, CloseReason.SHUTDOWN, 600);
        assertEquals(Step.NONE, state.nextStep(10, new View(0, true, false, false, true, true)));
        assertEquals(Step.NONE, state.nextStep(20, new View(0, false, false, true, true, true)));
        assertEquals(Step.SHUT_DOWN_OUTPUT, state.nextStep(600, new View(0, true, false, true, true, true)));
    }

    @Test
    void openRequestsOfAHostileClientAreFailedWithinThreeSeconds() {
        state.startDrain(0, CloseReason.UNREADABLE);
        assertEquals(ClientConnectionState.RequestHandling.DISCARD, state.requestHandling());
        assertFalse(state.readable());
        assertEquals(Step.NONE, state.nextStep(1499, BUSY));
        assertEquals(Step.FAIL_OPEN_REQUESTS, state.nextStep(1500, BUSY));
        assertEquals(Step.SHUT_DOWN_OUTPUT, state.nextStep(1501, QUIET));
        state.onDiscarded(2 << 20);
        assertEquals(Step.CLOSE, state.nextStep(1502, QUIET), "too much input while closing");
    }

    @Test
    void firstCloseReasonIsKept() {
        assertNull(state.reason());
        state.startDrain(0, CloseReason.ABUSE);
        state.startDrain(10, CloseReason.SHUTDOWN, 5000);
        state.onClosed(CloseReason.PEER_CLOSED);
        assertEquals(CloseReason.ABUSE, state.reason());
        assertEquals(Step.NONE, state.nextStep(9000, BUSY));
    }

    /** Kinds of events on a connection. */
    enum EventKind {
        REQUEST,
        ANSWER,
        CANCEL,
        DRAIN,
        PEER_CLOSES,
        STALLS,
        RECOVERS,
        TIME
    }

    record Event(EventKind kind, CloseReason reason, double ms) {}

    @Provide
    Arbitrary<List<Event>> histories() {
        Arbitrary<Event> event = Combinators.combine(
                        Arbitraries.of(EventKind.values()),
                        Arbitraries.of(
                                CloseReason.SHUTDOWN,
                                CloseReason.IDLE,
                                CloseReason.EVICTED,
                                CloseReason.ABUSE,
                                CloseReason.UNREADABLE),
                        Arbitraries.doubles().between(0, 400))
                .as(Event::new);
        return event.list().ofMinSize(5).ofMaxSize(80);
    }

    /**
     * For random sequences of events: each accepted request gets exactly one final answer, unless the client has
     * closed the connection or does not read; nothing is written after the output is shut down.
     */
    @Property(tries = 2000)
    void everyAcceptedRequestGetsOneAnswerUnlessTheClientIsGone(@ForAll("histories") List<Event> history) {
        Connection connection = new Connection();
        history.forEach(connection::apply);
        connection.apply(new Event(EventKind.RECOVERS, null, 0));
        connection.apply(new Event(EventKind.DRAIN, CloseReason.SHUTDOWN, 0));
        for (int i = 0; i < 40; i++) {
            connection.apply(new Event(EventKind.TIME, null, 100));
        }
        assertEquals(Phase.CLOSED, connection.state.phase(), "a drained connection ends");
        connection.check();
    }

    /** A connection that follows its state machine as the connections of the node do. */
    private static final class Connection {
        private final ClientConnectionState state = new ClientConnectionState();
        private final Map<Integer, Integer> answers = new HashMap<>();
        private final Set<Integer> open = new HashSet<>();
        private final Set<Integer> cancelled = new HashSet<>();
        private int ids;
        private double now;
        private boolean stalled;
        private boolean clientGone;
        private boolean closedWhileStalled;

        void apply(Event event) {
            switch (event.kind()) {
                case REQUEST -> request();
                case ANSWER -> open.stream().findFirst().ifPresent(this::answer);
                case CANCEL ->
                    open.stream().findFirst().ifPresent(id -> {
                        open.remove(id);
                        cancelled.add(id);
                    });
                case DRAIN -> drain(event.reason());
                case PEER_CLOSES -> close(CloseReason.PEER_CLOSED);
                case STALLS -> stalled = true;
                case RECOVERS -> stalled = false;
                default -> now += event.ms();
            }
            advance();
        }

        private void request() {
            if (state.requestHandling() == ClientConnectionState.RequestHandling.DISCARD) {
                return;
            }
            int id = ++ids;
            answers.put(id, 0);
            if (state.requestHandling() == ClientConnectionState.RequestHandling.SERVE) {
                open.add(id);
            } else {
                answer(id);
            }
        }

        private void answer(int id) {
            assertTrue(state.writable(), "an answer after the output was shut down");
            open.remove(id);
            answers.merge(id, 1, Integer::sum);
        }

        private void drain(CloseReason reason) {
            boolean needsNoOpenRequest = reason == CloseReason.IDLE || reason == CloseReason.EVICTED;
            if (reason == CloseReason.SHUTDOWN) {
                state.startDrain(now, reason, 600);
            } else if (!needsNoOpenRequest || open.isEmpty()) {
                state.startDrain(now, reason);
            }
        }

        private void advance() {
            switch (state.nextStep(now, new View(open.size(), false, stalled, false, ids > 0, true))) {
                case FAIL_OPEN_REQUESTS -> {
                    Set.copyOf(open).forEach(this::answer);
                    advance();
                }
                case CLOSE -> {
                    closedWhileStalled = stalled && state.phase() == Phase.DRAINING;
                    assertTrue(open.isEmpty() || closedWhileStalled, "closed with open requests");
                    close(state.reason());
                }
                default -> {}
            }
        }

        private void close(CloseReason reason) {
            clientGone |= reason == CloseReason.PEER_CLOSED;
            state.onClosed(reason);
            open.clear();
        }

        void check() {
            answers.forEach((id, count) -> {
                assertTrue(count <= 1, "a second answer");
                assertTrue(count == 1 || cancelled.contains(id) || clientGone || closedWhileStalled, "no answer");
            });
        }
    }
}
