/** Stand-in viewers: HTTP clients that request sessions with tokens, play by the MPD, leave and retry. */
package spanrill.standin.viewer;
