/** Arrival times of viewers and the titles that they request. */
package spanrill.model.crowd;
