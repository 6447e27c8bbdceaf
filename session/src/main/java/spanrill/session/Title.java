package spanrill.session;

import java.util.List;

/**
 * A title of the catalogue.
 *
 * @param name its name
 * @param home first cell that holds it
 * @param copies cells in a row that hold it
 * @param durationMs its length
 * @param segmentMs lengths of its segments in turn, over and over to its end; one length: all the same
 * @param audioKb rate of its audio, kB a second; 0: none of its own
 * @param lang language of its audio, or null
 */
public record Title(
        String name, int home, int copies, long durationMs, List<Long> segmentMs, double audioKb, String lang) {
    /** A title of video alone, with segments of one length. */
    public Title(String name, int home, int copies, long durationMs, long segmentMs) {
        this(name, home, copies, durationMs, List.of(segmentMs), 0, null);
    }
}
