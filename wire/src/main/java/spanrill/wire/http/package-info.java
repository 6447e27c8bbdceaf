/**
 * HTTP/1.1 (RFC 9112, RFC 9110) on Netty buffers: a parser that takes bytes in any pieces, an encoder, and
 * the two ends of a connection. The parser knows no channel; the ends know no route.
 */
package spanrill.wire.http;
