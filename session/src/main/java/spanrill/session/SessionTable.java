package spanrill.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.decisions.ExpiringMap;
import spanrill.decisions.SessionState.Phase;

/** The sessions of a core, found by their public name, by the module's name for them, or by attempt key. */
final class SessionTable {
    /** Sessions that are over are remembered so long, to tell their players why. */
    private static final double OVER_KEPT_MS = 120_000;

    private static final int MOST_OVER = 20_000;

    private final Map<String, Session> byId = new HashMap<>();
    private final Map<String, Session> byModule = new HashMap<>();
    private final Map<String, Session> byKey = new HashMap<>();
    private final ExpiringMap<Session> over = new ExpiringMap<>(OVER_KEPT_MS, MOST_OVER);

    void add(Session session) {
        byId.put(session.id(), session);
    }

    /** The module knows it by this name from now on. */
    void ask(Session session, String moduleRequest) {
        session.moduleRequest = moduleRequest;
        byModule.put(moduleRequest, session);
    }

    /** An attempt of it is out under this key. */
    void attempt(Session session, String key) {
        session.key = key;
        byKey.put(key, session);
    }

    void forgetKey(String key) {
        byKey.remove(key);
    }

    void forgetModule(String request) {
        byModule.remove(request);
    }

    /** It is over. */
    void over(double now, Session session) {
        byId.remove(session.id());
        byKey.remove(session.key);
        byModule.remove(session.moduleRequest);
        over.put(now, session.id(), session);
    }

    Session live(String id) {
        return byId.get(id);
    }

    /** In play or over a short while ago, or null. */
    Session known(double now, String id) {
        Session session = byId.get(id);
        return session == null ? over.get(now, id) : session;
    }

    Session ofModule(String request) {
        return byModule.get(request);
    }

    Session ofKey(String key) {
        return byKey.get(key);
    }

    /** Those that play at a box. */
    List<Session> playingAt(String box) {
        List<Session> there = new ArrayList<>();
        for (Session session : byKey.values()) {
            if (box.equals(session.box) && session.phase() == Phase.PLAYING) {
                there.add(session);
            }
        }
        return there;
    }

    boolean anyAt(String box) {
        return byKey.values().stream().anyMatch(session -> box.equals(session.box));
    }

    int size() {
        return byId.size();
    }
}
