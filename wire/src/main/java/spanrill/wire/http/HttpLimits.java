package spanrill.wire.http;

/**
 * Bounds of a message.
 *
 * @param lineBytes a start line, header line or chunk line
 * @param headers header and trailer fields of one message
 * @param headBytes all lines of one head together
 * @param bodyBytes body
 */
public record HttpLimits(int lineBytes, int headers, int headBytes, long bodyBytes) {
    /** For requests of viewers: long targets carry tokens. */
    public static final HttpLimits SERVER = new HttpLimits(8 * 1024, 64, 32 * 1024, 64 * 1024);
    /** For answers of boxes. */
    public static final HttpLimits CLIENT = new HttpLimits(8 * 1024, 64, 32 * 1024, 1L << 32);
}
