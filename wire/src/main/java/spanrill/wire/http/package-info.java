/**
 * HTTP/1.1 (RFC 9112, RFC 9110) on Netty buffers: a parser that accepts fragments of any size, an encoder, and the
 * client and server sides of a connection. The parser is independent of channels, and the connections of routing.
 */
package spanrill.wire.http;
