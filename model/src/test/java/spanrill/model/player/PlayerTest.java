package spanrill.model.player;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import spanrill.model.RandomStreams;
import spanrill.model.player.Player.Action;

class PlayerTest {
    private static final List<Long> LADDER = List.of(1_000_000L, 2_000_000L, 4_000_000L, 8_000_000L);

    private static ViewerTraits traits(double watchMs, double returns, boolean honours, boolean bola, long seed) {
        return new ViewerTraits(
                "free", 0, 0, watchMs, 3, 3000, -1, false, false, honours, returns, 5, 0.75, false, bola, seed);
    }

    private static Player player(double watchMs, boolean bola) {
        Player player = new Player(traits(watchMs, 1, true, bola, 1), 0, List.of(1000.0, 2000.0));
        player.onRequestSent();
        return player;
    }

    /** Plays over a link with a rate of {@code bitsPerS} and returns the rungs of the fetched segments. */
    private static List<Integer> play(Player player, double bitsPerS, double untilMs) {
        List<Integer> rungs = new java.util.ArrayList<>();
        double now = 0;
        Action next = player.onPlaying(now, LADDER, 1000, 10_000);
        while (next instanceof Action.Fetch fetch && now < untilMs) {
            now += fetch.afterMs();
            player.onFetchStarted(now);
            rungs.add(fetch.rung());
            double bits = LADDER.get(fetch.rung());
            now += bits / bitsPerS * 1000;
            next = player.onSegmentReceived(now, bits);
        }
        return rungs;
    }

    @Test
    void bothSelectorsConvergeToARungThatTheLinkSustains() {
        for (boolean bola : new boolean[] {false, true}) {
            List<Integer> rungs = play(player(60_000, bola), 5_000_000, 60_000);
            double mean = rungs.subList(rungs.size() / 2, rungs.size()).stream()
                    .mapToInt(i -> i)
                    .average()
                    .orElse(0);
            assertTrue(mean > 1.2 && mean < 2.8, (bola ? "bola " : "throughput ") + rungs);
            assertEquals(0, rungs.get(0), "rung of the first segment");
        }
    }

    @Test
    void playsToTheEndWithoutStallOnAFastLink() {
        Player player = player(20_000, false);
        play(player, 50_000_000, 60_000);
        assertEquals(0, player.stalls());
        assertEquals(20_000, player.playedMs(), 1200);
    }

    @Test
    void stallsAndLeavesOnASlowLink() {
        Player player = player(120_000, false);
        List<Integer> rungs = play(player, 400_000, 120_000);
        assertTrue(rungs.size() < 40, "the viewer left after " + rungs.size() + " segments, expected fewer than 40");
        assertTrue(player.stalls() > 0 && player.stalledMs() > 0);
    }

    @Test
    void viewerLeavesDuringAFetchThatNeverCompletes() {
        Player player = player(120_000, false);
        player.onPlaying(0, LADDER, 1000, 1000);
        player.onFetchStarted(0);
        player.onSegmentReceived(100, 1_000_000);
        Action next = null;
        double now = 100;
        while (next == null && now < 60_000) {
            now += 500;
            next = player.checkPatience(now);
        }
        assertEquals(new Action.End(true), next);
        assertTrue(now < 12_000, "time of leaving in ms: " + now);
    }

    @Test
    void sessionEndsAfterTheLastSegmentOfTheTitle() {
        Player player = player(5000, false);
        Action next = player.onPlaying(0, LADDER, 1000, 2);
        for (int i = 1; i <= 2; i++) {
            assertEquals(i, assertInstanceOf(Action.Fetch.class, next).number());
            next = player.onSegmentReceived(i * 10, 1_000_000);
        }
        assertEquals(new Action.End(false), next);
    }

    @Test
    void retryDelayDoublesWithEachRefusalAndHonoursRetryAfter() {
        RetryPolicy honouring = new RetryPolicy(traits(1e9, 1, true, false, 3), RandomStreams.of(3), 100, 200);
        double first = honouring.nextDelayMs(1, true, 5000);
        assertTrue(first >= 5000 && first <= 5200, "at least Retry-After plus a random time: " + first);
        RetryPolicy ignoring = new RetryPolicy(traits(1e9, 1, false, false, 3), RandomStreams.of(3), 100, 200);
        double before = 0;
        for (int i = 0; i < 4; i++) {
            double delayMs = ignoring.nextDelayMs(1, true, 5000);
            assertTrue(delayMs >= 100 * Math.pow(2, i) && delayMs <= 200 * Math.pow(2, i), i + ": " + delayMs);
            assertTrue(delayMs > before * 0.9);
            before = delayMs;
        }
        ignoring.onPlaying();
        assertTrue(ignoring.nextDelayMs(1, true, 0) <= 200);
        assertEquals(-1, ignoring.nextDelayMs(5, true, 0), "the maximum number of requests is reached");
    }

    @Test
    void paidRequestWithoutAnswerIsNotRepeated() {
        assertEquals(new Action.Done(), player(60_000, false).onConnectionLost(10, false));
        assertEquals(
                true,
                assertInstanceOf(Action.Request.class, player(60_000, false).onConnectionLost(10, true))
                        .newToken());
        assertFalse(assertInstanceOf(Action.Request.class, player(60_000, false).onRefused(10, 0))
                .newToken());
    }

    /** Played plus buffered media equals the added media; played plus stalled time equals the time since the start. */
    @Property(tries = 300, seed = "20261201")
    void bufferAccountsForAllMediaAndTime(@ForAll List<@DoubleRange(min = 0, max = 5000) Double> gaps) {
        PlaybackBuffer buffer = new PlaybackBuffer(500, 1500, 0);
        double now = 0;
        double added = 0;
        double startedAt = Double.NaN;
        for (double gap : gaps) {
            now += gap;
            buffer.add(now, 1000);
            added += 1000;
            startedAt = Double.isNaN(startedAt) && buffer.isPlaying() ? now : startedAt;
            assertEquals(added, buffer.playedMs() + buffer.heldMs(), 1e-6);
            if (!Double.isNaN(startedAt)) {
                assertEquals(now - startedAt, buffer.playedMs() + buffer.stalledMs(), 1e-6);
            }
            assertTrue(buffer.heldMs() >= 0);
        }
    }

    /** BOLA does not select a lower rung at a higher buffer level, and the lowest rung at an empty buffer. */
    @Property(tries = 300, seed = "20261201")
    void bolaRungIsMonotonicInTheBufferLevel(
            @ForAll @DoubleRange(min = 0, max = 20_000) double a,
            @ForAll @DoubleRange(min = 0, max = 20_000) double b) {
        RungSelector bola = RungSelector.bola();
        int rungAtLowerLevel =
                bola.selectRung(new RungSelector.State(LADDER, Math.min(a, b), 20_000, 2000, Double.NaN));
        int rungAtHigherLevel =
                bola.selectRung(new RungSelector.State(LADDER, Math.max(a, b), 20_000, 2000, Double.NaN));
        assertTrue(rungAtLowerLevel <= rungAtHigherLevel);
        assertEquals(0, bola.selectRung(new RungSelector.State(LADDER, 0, 20_000, 2000, Double.NaN)));
        assertEquals(3, bola.selectRung(new RungSelector.State(LADDER, 20_000, 20_000, 2000, Double.NaN)));
    }

    @Test
    void stoppedFrontIsSelectedUntilTheStopIsNoticed() {
        FrontSelector selector = new FrontSelector(4, 2, 1000, 4000);
        selector.markDown(0, 0);
        assertEquals(0, selector.select(500, 0, 0.1));
        assertEquals(2, selector.select(5000, 0, 0.1), "another front of the same hall");
        selector.markDown(0, 2);
        assertTrue(selector.select(9000, 0, 0.1) % 2 == 1, "a front of another hall");
        selector.markUp(0);
        assertEquals(0, selector.select(9000, 0, 0.1));
        assertEquals(0, new FrontSelector(1, 1, 0, 0).select(0, 0, 1));
    }
}
