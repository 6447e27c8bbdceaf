package spanrill.model.trouble;

/**
 * Something that goes wrong.
 *
 * @param kind what
 * @param atMs when
 * @param forMs for how long
 * @param part of the boxes, fronts or racks; for crowds a multiple of the ordinary arrivals
 */
public record Trouble(Kind kind, double atMs, double forMs, double part) {}
