package spanrill.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import spanrill.decisions.SessionState.Answer;

/**
 * Which request a token stands for. The id of a token is the key: the first time it comes it is a new
 * request; while that is set up or plays it joins it; afterwards it is told what came of it. A token is never
 * a second request while the first may have spent anything.
 *
 * <p>Memory is bounded: an id is kept until its token expires, at most {@code most} of them. When full, new
 * tokens are turned away rather than old ids forgotten, since a forgotten id of a paid session could be spent
 * again.
 */
public final class Admission {
    /** What to do with a token. */
    public enum Kind {
        /** A new request to the module. */
        NEW,
        /** Joins the session named. */
        JOIN,
        /** Its request failed; the answer stands. */
        FAILED,
        /** Its session is over; the token is used up. */
        USED,
        /** No room to remember one more id. */
        NO_ROOM
    }

    /**
     * A verdict.
     *
     * @param kind what to do
     * @param session the session to join, or null
     * @param again true for a new request of a token that was refused before
     */
    public record Verdict(Kind kind, String session, boolean again) { }

    private static final class Entry {
        private final boolean once;
        private final double expiresAt;
        private String session;
        private Kind after;
        private boolean refusedBefore;

        Entry(boolean once, double expiresAt) {
            this.once = once;
            this.expiresAt = expiresAt;
        }
    }

    private final int most;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private double sweptAt = Double.NEGATIVE_INFINITY;

    /** Remembers at most so many ids. */
    public Admission(int most) {
        this.most = most;
    }

    /** A token came: what does it stand for? A {@link Kind#NEW} must be followed by {@link #taken}. */
    public Verdict offer(double now, String tokenId) {
        Entry entry = entries.get(tokenId);
        if (entry == null) {
            if (entries.size() >= most) {
                sweep(now);
            }
            return new Verdict(entries.size() >= most ? Kind.NO_ROOM : Kind.NEW, null, false);
        }
        if (entry.session != null) {
            return new Verdict(Kind.JOIN, entry.session, false);
        }
        return entry.after == null ? new Verdict(Kind.NEW, null, entry.refusedBefore)
                : new Verdict(entry.after, null, false);
    }

    /** Its request was taken as this session. */
    public void taken(String tokenId, String session, boolean once, double expiresAt) {
        Entry entry = entries.computeIfAbsent(tokenId, id -> new Entry(once, expiresAt));
        if (entry.session != null || entry.after != null) {
            throw new RuleFault("token taken twice");
        }
        entry.session = session;
    }

    /**
     * Its session is over.
     *
     * @param answer the answer that its request was given, null when the viewer left before it
     * @param mayHaveRun true when an attempt may have run
     */
    public void over(String tokenId, Answer answer, boolean mayHaveRun) {
        Entry entry = entries.get(tokenId);
        if (entry == null) {
            return;
        }
        entry.session = null;
        if (answer == Answer.PLAYS) {
            entry.after = Kind.USED;
        } else if (entry.once && mayHaveRun) {
            // A viewer that left while a paid set-up was out gets the answer that it would have been given.
            entry.after = Kind.FAILED;
        } else {
            entry.after = null;
            entry.refusedBefore = true;
        }
    }

    /** Drops the ids whose tokens have expired: such a token is turned away by its date alone. */
    public void sweep(double now) {
        if (now - sweptAt < 100) {
            return;
        }
        sweptAt = now;
        entries.values().removeIf(entry -> entry.session == null && entry.expiresAt < now);
    }

    /** Ids remembered. */
    public int size() {
        return entries.size();
    }
}
