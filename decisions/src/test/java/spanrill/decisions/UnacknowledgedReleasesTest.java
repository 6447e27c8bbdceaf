package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class UnacknowledgedReleasesTest {
    private final UnacknowledgedReleases said = new UnacknowledgedReleases(1000, 3);

    @Test
    void whatWasSaidLastIsLostWithItsConnection() {
        said.recordWritten(0, 1);
        said.recordWritten(500, 2);
        said.recordWritten(900, 3);
        said.acknowledge(3);
        assertEquals(List.of(2L), said.takeUnacknowledged(1200), "the first has arrived, the third was heard");
        assertEquals(List.of(), said.takeUnacknowledged(1200));
    }

    @Test
    void keepsFewAndTheYoungest() {
        for (long session = 1; session <= 9; session++) {
            said.recordWritten(session, session);
        }
        said.recordWritten(9, 7);
        assertEquals(List.of(8L, 9L, 7L), said.takeUnacknowledged(10));
        said.recordWritten(20, 1);
        said.recordWritten(5000, 2);
        assertEquals(List.of(2L), said.takeUnacknowledged(5000));
    }
}
