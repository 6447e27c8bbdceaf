package spanrill.wire.http;

/**
 * One range of bytes (RFC 9110 section 14.1.2).
 *
 * @param first first byte
 * @param last last byte, included
 */
public record ByteRange(long first, long last) {
    /** How many bytes. */
    public long length() {
        return last - first + 1;
    }

    /** True when the text is a range that this program serves: one range, in bytes. */
    public static boolean isSupported(String text) {
        return text != null && text.matches("bytes=(\\d{1,15}-\\d{0,15}|-\\d{1,15})");
    }

    /**
     * Reads an understood range against a length.
     *
     * @return null when it can't be satisfied (416)
     */
    public static ByteRange resolve(String text, long length) {
        String[] ends = text.substring("bytes=".length()).split("-", -1);
        if (ends[0].isEmpty()) {
            long suffix = Math.min(length, Long.parseLong(ends[1]));
            return suffix == 0 ? null : new ByteRange(length - suffix, length - 1);
        }
        long first = Long.parseLong(ends[0]);
        long last = ends[1].isEmpty() ? length - 1 : Math.min(length - 1, Long.parseLong(ends[1]));
        return first >= length || last < first ? null : new ByteRange(first, last);
    }
}
