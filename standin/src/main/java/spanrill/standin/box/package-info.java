/**
 * Stand-in replay boxes: links and uplinks shared alike, places, cold starts, set-ups that spend once, media
 * bytes that follow from title, rung and number.
 */
package spanrill.standin.box;
