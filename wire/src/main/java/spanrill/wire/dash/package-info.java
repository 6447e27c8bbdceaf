/**
 * Media presentation descriptions (ISO/IEC 23009-1) for recorded titles: a writer, a parser over the JDK's
 * StAX, and the names of segments. Only what a session's MPD needs is known; the parser passes over the rest.
 */
package spanrill.wire.dash;
