/**
 * Stand-in replay boxes: links and uplinks shared equally among sessions, limited places, cold starts, set-ups
 * that spend a token once, and media bytes determined by title, rung and segment number.
 */
package spanrill.standin.box;
