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
public final class TokenRequestTable {
    /** What to do with a token. */
    public enum Disposition {
        /** A new request to the module. */
        NEW,
        /** Joins the session named. */
        JOIN,
        /**
         * Its request was refused a moment ago: this is the same request sent twice, and the answer is
         * the same.
         */
        REFUSED,
        /** Its request failed; the answer stands. */
        FAILED,
        /** Its session is over; the token is used up. */
        USED,
        /** No room to remember one more id. */
        TABLE_FULL
    }

    /**
     * A verdict.
     *
     * @param kind what to do
     * @param session the session to join, or null
     * @param refusedBefore true for a new request of a token that was refused before
     * @param retryAfterMs what is left of the wait that it was told with a refusal
     */
    public record Verdict(Disposition kind, String session, boolean refusedBefore, double retryAfterMs) {}

    private static final class Entry {
        private final boolean once;
        private final double expiresAt;
        private String session;
        private Disposition after;
        private boolean refusedBefore;
        private double refusedAt = Double.NEGATIVE_INFINITY;
        private double retryAfterMs;

        Entry(boolean once, double expiresAt) {
            this.once = once;
            this.expiresAt = expiresAt;
        }
    }

    private final int most;
    private final double sameMs;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private double sweptAt = Double.NEGATIVE_INFINITY;

    /**
     * Remembers at most so many ids.
     *
     * @param sameMs a token that comes within this time of its refusal is the same request, sent twice:
     * were it a
     *     new one, its viewer could be told both "refused" and "plays", and take the token elsewhere
     */
    public TokenRequestTable(int most, double sameMs) {
        this.most = most;
        this.sameMs = sameMs;
    }

    /** A token came: what does it stand for? A {@link Disposition#NEW} must be followed by {@link #assignSession}. */
    public Verdict evaluate(double now, String tokenId) {
        Entry entry = entries.get(tokenId);
        if (entry == null) {
            if (entries.size() >= most) {
                removeExpired(now);
            }
            return new Verdict(entries.size() >= most ? Disposition.TABLE_FULL : Disposition.NEW, null, false, 0);
        }
        if (entry.session != null) {
            return new Verdict(Disposition.JOIN, entry.session, false, 0);
        }
        if (entry.after != null) {
            return new Verdict(entry.after, null, false, 0);
        }
        double since = now - entry.refusedAt;
        return since < sameMs
                ? new Verdict(Disposition.REFUSED, null, false, Math.max(0, entry.retryAfterMs - since))
                : new Verdict(Disposition.NEW, null, entry.refusedBefore, 0);
    }

    /**
     * A token that was remembered over the death of the process.
     *
     * @param used true when it played; else it may have run
     */
    public void restore(String tokenId, boolean used, double expiresAt) {
        Entry entry = new Entry(true, expiresAt);
        entry.after = used ? Disposition.USED : Disposition.FAILED;
        entries.put(tokenId, entry);
    }

    /** Its request was taken as this session. */
    public void assignSession(String tokenId, String session, boolean once, double expiresAt) {
        Entry entry = entries.computeIfAbsent(tokenId, id -> new Entry(once, expiresAt));
        if (entry.session != null || entry.after != null) {
            throw new IllegalTransitionException("token taken twice");
        }
        entry.session = session;
    }

    /**
     * Its session is over.
     *
     * @param answer the answer that its request was given, null when the viewer left before it
     * @param mayHaveRun true when an attempt may have run
     * @param retryAfterMs the wait told with a refusal
     */
    public void endSession(double now, String tokenId, Answer answer, boolean mayHaveRun, double retryAfterMs) {
        Entry entry = entries.get(tokenId);
        if (entry == null) {
            return;
        }
        entry.session = null;
        if (answer == Answer.PLAYS) {
            entry.after = Disposition.USED;
        } else if (entry.once && mayHaveRun) {
            // A viewer that left while a paid set-up was out gets the answer that it would have been given.
            entry.after = Disposition.FAILED;
        } else {
            entry.after = null;
            entry.refusedBefore = true;
            entry.refusedAt = answer == Answer.REFUSED ? now : Double.NEGATIVE_INFINITY;
            entry.retryAfterMs = retryAfterMs;
        }
    }

    /** Drops the ids whose tokens have expired: such a token is turned away by its date alone. */
    public void removeExpired(double now) {
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
