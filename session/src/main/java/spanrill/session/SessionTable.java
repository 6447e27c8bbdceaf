package spanrill.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.decisions.ExpiringMap;
import spanrill.decisions.SessionState.Phase;

/** The sessions of a core, indexed by public id, by the module's request id and by attempt key. */
final class SessionTable {
    /** Ended sessions are kept for this time, so that their players can be told the reason. */
    private static final double ENDED_RETENTION_MS = 120_000;

    private static final int MAX_ENDED = 20_000;

    private final Map<String, Session> byId = new HashMap<>();
    private final Map<String, Session> byModuleRequest = new HashMap<>();
    private final Map<String, Session> byAttemptKey = new HashMap<>();
    private final ExpiringMap<Session> recentlyEnded = new ExpiringMap<>(ENDED_RETENTION_MS, MAX_ENDED);

    void add(Session session) {
        byId.put(session.id(), session);
    }

    /** Registers the request id that the module uses for a session from now on. */
    void bindModuleRequest(Session session, String moduleRequestId) {
        session.moduleRequestId = moduleRequestId;
        byModuleRequest.put(moduleRequestId, session);
    }

    /** Registers the key of a session's open attempt. */
    void bindAttempt(Session session, String attemptKey) {
        session.attemptKey = attemptKey;
        byAttemptKey.put(attemptKey, session);
    }

    void unbindAttempt(String attemptKey) {
        byAttemptKey.remove(attemptKey);
    }

    void unbindModuleRequest(String moduleRequestId) {
        byModuleRequest.remove(moduleRequestId);
    }

    /** Removes an ended session from the indexes and keeps it for a while. */
    void markEnded(double now, Session session) {
        byId.remove(session.id());
        byAttemptKey.remove(session.attemptKey);
        byModuleRequest.remove(session.moduleRequestId);
        recentlyEnded.put(now, session.id(), session);
    }

    Session findActive(String id) {
        return byId.get(id);
    }

    /** Returns an active or recently ended session, or null. */
    Session findActiveOrEnded(double now, String id) {
        Session session = byId.get(id);
        return session == null ? recentlyEnded.get(now, id) : session;
    }

    Session findByModuleRequest(String moduleRequestId) {
        return byModuleRequest.get(moduleRequestId);
    }

    Session findByAttemptKey(String attemptKey) {
        return byAttemptKey.get(attemptKey);
    }

    /** Returns the sessions that play at a box. */
    List<Session> playingAt(String box) {
        List<Session> playing = new ArrayList<>();
        for (Session session : byAttemptKey.values()) {
            if (box.equals(session.box) && session.phase() == Phase.PLAYING) {
                playing.add(session);
            }
        }
        return playing;
    }

    boolean hasSessionsAt(String box) {
        return byAttemptKey.values().stream().anyMatch(session -> box.equals(session.box));
    }

    int size() {
        return byId.size();
    }
}
