package spanrill.day;

import spanrill.model.player.ViewerTraits;

/**
 * Arrival of a viewer.
 *
 * @param atMs time of the arrival, in ms from the start of the day
 * @param number number of the viewer in order of arrival, from 0
 * @param traits properties of the viewer and its player
 */
public record Arrival(double atMs, int number, ViewerTraits traits) {}
