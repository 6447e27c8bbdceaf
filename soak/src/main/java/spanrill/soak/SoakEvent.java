package spanrill.soak;

import java.util.Locale;

/**
 * An event recorded during a trial.
 *
 * @param atMs time since the trial began, ms
 * @param node index of the node concerned, -1 if there is none
 * @param peer id of a server, name of a service class or another subject as the kind defines, never null
 * @param session id of the request or session, 0 if there is none
 * @param connection number of the client connection, 0 if there is none
 * @param code release cause or another number as the kind defines
 */
public record SoakEvent(double atMs, EventKind kind, int node, String peer, long session, int connection, int code) {
    /** Formats the event as a line of the event log. */
    public String format() {
        return String.format(
                Locale.ROOT,
                "%9.1f %s node=%d peer=%s id=%016x conn=%d code=%d",
                atMs,
                kind,
                node,
                peer,
                session,
                connection,
                code);
    }
}
