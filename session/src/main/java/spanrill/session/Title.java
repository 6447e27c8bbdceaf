package spanrill.session;

import java.util.List;

/**
 * A title of the catalogue.
 *
 * @param name name of the title
 * @param home first cell that holds the title
 * @param copies number of consecutive cells that hold the title
 * @param durationMs duration of the title
 * @param segmentMs durations of consecutive segments; the pattern repeats until the end of the title
 * @param audioKb rate of the separate audio track, kB a second; 0: there is none
 * @param lang language of the audio, or null
 */
public record Title(
        String name, int home, int copies, long durationMs, List<Long> segmentMs, double audioKb, String lang) {
    /** Creates a title without a separate audio track, with segments of equal duration. */
    public Title(String name, int home, int copies, long durationMs, long segmentMs) {
        this(name, home, copies, durationMs, List.of(segmentMs), 0, null);
    }
}
