/**
 * The platform's binary messages on Netty buffers: {@code length:2 type:1 session:8 parameters}, each
 * parameter {@code code:1 length:2 value}, all big-endian. What can't be framed is a {@link
 * spanrill.wire.platform.MalformedFrameException}; unknown types and parameters that are framed well are handed on.
 */
package spanrill.wire.platform;
