package spanrill.wire.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Head of a request.
 *
 * @param method as sent; methods are case-sensitive
 * @param target origin-form or absolute-form (RFC 9112 section 3.2)
 * @param minor minor version, 0 or 1
 * @param headers its fields
 */
public record RequestHead(String method, String target, int minor, Headers headers) {
    /** The path of the target, without its query. */
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

    /** A parameter of the query, decoded, or null; one that is ill-formed counts as absent. */
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

    /** True when the connection goes on after the answer (RFC 9112 section 9.3). */
    public boolean keepAlive() {
        return minor == 1
                ? !headers.containsToken("connection", "close")
                : headers.containsToken("connection", "keep-alive");
    }
}
