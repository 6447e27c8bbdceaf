/**
 * The box side over HTTP: a pool of connections for each box, set-ups and segments, and the notes
 * streams.
 */
package spanrill.front.box;
