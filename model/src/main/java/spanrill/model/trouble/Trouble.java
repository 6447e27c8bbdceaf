package spanrill.model.trouble;

/**
 * A trouble that a day injects.
 *
 * @param kind kind of trouble
 * @param atMs start, in ms from the start of the day
 * @param forMs duration in ms
 * @param part share of the boxes, fronts or racks that are affected; for {@link Kind#BURST} and {@link Kind#HOT_KEY}
 *     the additional arrivals as a multiple of the ordinary arrival rate
 */
public record Trouble(Kind kind, double atMs, double forMs, double part) {}
