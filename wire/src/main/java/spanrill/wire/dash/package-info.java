/**
 * Media presentation descriptions (ISO/IEC 23009-1) for recorded titles: a writer, a parser and a validator based on
 * the JDK's StAX, and segment names. Only the elements that a session's MPD needs are supported; the parser ignores
 * others.
 */
package spanrill.wire.dash;
