package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class UnacknowledgedReleasesTest {
    private final UnacknowledgedReleases said = new UnacknowledgedReleases(1000, 3);

    @Test
    void whatWasSaidLastIsLostWithItsConnection() {
        said.said(0, 1);
        said.said(500, 2);
        said.said(900, 3);
        said.heard(3);
        assertEquals(List.of(2L), said.lost(1200), "the first has arrived, the third was heard");
        assertEquals(List.of(), said.lost(1200));
    }

    @Test
    void keepsFewAndTheYoungest() {
        for (long session = 1; session <= 9; session++) {
            said.said(session, session);
        }
        said.said(9, 7);
        assertEquals(List.of(8L, 9L, 7L), said.lost(10));
        said.said(20, 1);
        said.said(5000, 2);
        assertEquals(List.of(2L), said.lost(5000));
    }
}
