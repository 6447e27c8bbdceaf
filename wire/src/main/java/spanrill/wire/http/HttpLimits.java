package spanrill.wire.http;

/**
 * Size limits of one message.
 *
 * @param maxLineBytes maximum length of a start line, header line or chunk size line, in bytes
 * @param maxHeaders maximum number of header fields, and of trailer fields
 * @param maxHeadBytes maximum size of all lines of a head together, in bytes
 * @param maxBodyBytes maximum size of a body, in bytes
 */
public record HttpLimits(int maxLineBytes, int maxHeaders, int maxHeadBytes, long maxBodyBytes) {
    /** Limits for requests of viewers; their targets are long because they carry tokens. */
    public static final HttpLimits SERVER = new HttpLimits(8 * 1024, 64, 32 * 1024, 64 * 1024);
    /** Limits for responses of boxes. */
    public static final HttpLimits CLIENT = new HttpLimits(8 * 1024, 64, 32 * 1024, 1L << 32);
}
