package spanrill.day;

import spanrill.model.player.ViewerTraits;

/**
 * A viewer who comes.
 *
 * @param atMs when, from the start of the day
 * @param number from 0
 * @param traits what it is like
 */
public record Arrival(double atMs, int number, ViewerTraits traits) {}
