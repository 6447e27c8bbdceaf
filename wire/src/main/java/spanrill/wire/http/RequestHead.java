package spanrill.wire.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Head of a request.
 *
 * @param method method as received; methods are case-sensitive
 * @param target request target in origin-form, absolute-form or asterisk-form (RFC 9112 section 3.2)
 * @param minorVersion minor version of HTTP, 0 or 1
 * @param headers header fields
 */
public record RequestHead(String method, String target, int minorVersion, Headers headers) {
    /** Returns the path of the target, without the query. */
    public String path() {
        String origin = target;
        if (!origin.startsWith("/")) {
            int slashes = origin.indexOf("://");
            int path = slashes < 0 ? -1 : origin.indexOf('/', slashes + 3);
            origin = path < 0 ? "/" : origin.substring(path);
        }
        int query = origin.indexOf('?');
        return query < 0 ? origin : origin.substring(0, query);
    }

    /** Returns a decoded query parameter, or null when it is absent or malformed. */
    public String queryParameter(String name) {
        int start = target.indexOf('?');
        if (start < 0) {
            return null;
        }
        for (String part : target.substring(start + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                try {
                    return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                } catch (IllegalArgumentException e) {
                    return null;
                }
            }
        }
        return null;
    }

    /** Returns whether the connection persists after the response (RFC 9112 section 9.3). */
    public boolean keepAlive() {
        return minorVersion == 1
                ? !headers.containsToken("connection", "close")
                : headers.containsToken("connection", "keep-alive");
    }
}
