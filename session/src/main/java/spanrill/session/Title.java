package spanrill.session;

/**
 * A title of the catalogue.
 *
 * @param name its name
 * @param home first cell that holds it
 * @param copies cells in a row that hold it
 * @param durationMs its length
 * @param segmentMs length of a segment
 */
public record Title(String name, int home, int copies, long durationMs, long segmentMs) { }
