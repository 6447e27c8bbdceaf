package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class UnacknowledgedReleasesTest {
    private final UnacknowledgedReleases releases = new UnacknowledgedReleases(1000, 3);

    @Test
    void recentUnacknowledgedReleasesAreReturnedWhenTheConnectionEnds() {
        releases.recordWritten(0, 1);
        releases.recordWritten(500, 2);
        releases.recordWritten(900, 3);
        releases.acknowledge(3);
        assertEquals(
                List.of(2L), releases.takeUnacknowledged(1200), "the first has arrived, the third was acknowledged");
        assertEquals(List.of(), releases.takeUnacknowledged(1200));
    }

    @Test
    void oldestReleasesAreDroppedAtTheCapacity() {
        for (long session = 1; session <= 9; session++) {
            releases.recordWritten(session, session);
        }
        releases.recordWritten(9, 7);
        assertEquals(List.of(8L, 9L, 7L), releases.takeUnacknowledged(10));
        releases.recordWritten(20, 1);
        releases.recordWritten(5000, 2);
        assertEquals(List.of(2L), releases.takeUnacknowledged(5000));
    }
}
