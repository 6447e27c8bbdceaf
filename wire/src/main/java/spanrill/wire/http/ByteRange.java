package spanrill.wire.http;

/**
 * One range of bytes (RFC 9110 section 14.1.2).
 *
 * @param first position of the first byte, from 0
 * @param last position of the last byte, inclusive
 */
public record ByteRange(long first, long last) {
    /** Returns the number of bytes. */
    public long length() {
        return last - first + 1;
    }

    /** Returns whether the value of a Range field is supported: a single range, in bytes. */
    public static boolean isSupported(String text) {
        return text != null && text.matches("bytes=(\\d{1,15}-\\d{0,15}|-\\d{1,15})");
    }

    /**
     * Resolves a supported range against the length of the content in bytes.
     *
     * @return the range, or null when it cannot be satisfied (status 416)
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
