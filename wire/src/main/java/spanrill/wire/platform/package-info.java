/**
 * The platform's binary messages on Netty buffers: {@code length:2 type:1 session:8 parameters}, each parameter
 * {@code code:1 length:2 value}, all big-endian. Bytes that cannot be framed cause a {@link
 * spanrill.wire.platform.MalformedFrameException}; unknown types and parameters that are correctly framed are passed
 * on.
 */
package spanrill.wire.platform;
