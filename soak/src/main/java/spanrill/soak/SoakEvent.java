package spanrill.soak;

import java.util.Locale;

/**
 * One thing seen.
 *
 * @param ms time since the trial began, ms
 * @param node index of the node, -1 where none is concerned
 * @param peer a server's id, a class or another word, never null
 * @param session the request or session, 0 where none is concerned
 * @param connection number of the client connection, 0 where none is concerned
 * @param code a cause or another figure, as the kind says
 */
public record SoakEvent(double ms, EventKind kind, int node, String peer, long session, int connection, int code) {
    /** As a line of a log. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%9.1f %s node=%d peer=%s id=%016x conn=%d code=%d",
                ms,
                kind,
                node,
                peer,
                session,
                connection,
                code);
    }
}
