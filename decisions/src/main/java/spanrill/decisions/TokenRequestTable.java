package spanrill.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import spanrill.decisions.SessionState.Answer;

/**
 * Maps token ids to requests, so that a token is used for one session only. The first request with a token id is
 * new; further requests with that id join the session while it is set up or plays, and get its result
 * afterwards. A token never starts a second request while the first one may have spent anything.
 *
 * <p>Memory is bounded: an id is kept until its token expires, and at most {@code capacity} ids are kept. When
 * the table is full, new tokens are rejected instead of evicting old ids, because the token of an evicted paid
 * session could be spent a second time.
 */
public final class TokenRequestTable {
    /** How a request with a token is handled. */
    public enum Disposition {
        /** The request is new and goes to the module. */
        NEW,
        /** The request joins the session in the verdict. */
        JOIN,
        /** The first request was refused a moment ago: this one is a duplicate and gets the same answer. */
        REFUSED,
        /** The first request failed, and so does every further one. */
        FAILED,
        /** The session of the token has ended; the token is used up. */
        USED,
        /** The table is full. */
        TABLE_FULL
    }

    /**
     * The decision on one request.
     *
     * @param kind how to handle the request
     * @param session the session to join, or null
     * @param refusedBefore true for a new request with a token that was refused before
     * @param retryAfterMs the remaining part of the wait that was sent with the refusal, ms
     */
    public record Verdict(Disposition kind, String session, boolean refusedBefore, double retryAfterMs) {}

    private static final class Entry {
        private final boolean paid;
        private final double expiresAt;
        private String session;
        private Disposition finalDisposition;
        private boolean refusedBefore;
        private double refusedAt = Double.NEGATIVE_INFINITY;
        private double retryAfterMs;

        Entry(boolean paid, double expiresAt) {
            this.paid = paid;
            this.expiresAt = expiresAt;
        }
    }

    private static final double MIN_SWEEP_INTERVAL_MS = 100;

    private final int capacity;
    private final double duplicateWindowMs;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private double sweptAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates an empty table.
     *
     * @param capacity maximum number of token ids
     * @param duplicateWindowMs a request that arrives within this time after the refusal of its token is a
     *     duplicate of the refused one. As a new request it could be answered "plays" while the viewer, already
     *     told "refused", takes the token to another front.
     */
    public TokenRequestTable(int capacity, double duplicateWindowMs) {
        this.capacity = capacity;
        this.duplicateWindowMs = duplicateWindowMs;
    }

    /**
     * Decides how to handle a request with this token. After {@link Disposition#NEW} the caller must call
     * {@link #assignSession}.
     */
    public Verdict evaluate(double now, String tokenId) {
        Entry entry = entries.get(tokenId);
        if (entry == null) {
            if (entries.size() >= capacity) {
                removeExpired(now);
            }
            return new Verdict(entries.size() >= capacity ? Disposition.TABLE_FULL : Disposition.NEW, null, false, 0);
        }
        if (entry.session != null) {
            return new Verdict(Disposition.JOIN, entry.session, false, 0);
        }
        if (entry.finalDisposition != null) {
            return new Verdict(entry.finalDisposition, null, false, 0);
        }
        double sinceRefusalMs = now - entry.refusedAt;
        return sinceRefusalMs < duplicateWindowMs
                ? new Verdict(Disposition.REFUSED, null, false, Math.max(0, entry.retryAfterMs - sinceRefusalMs))
                : new Verdict(Disposition.NEW, null, entry.refusedBefore, 0);
    }

    /**
     * Adds a token that was stored by an earlier process of this front.
     *
     * @param used true when the session of the token played; otherwise an attempt may have run
     */
    public void restore(String tokenId, boolean used, double expiresAt) {
        Entry entry = new Entry(true, expiresAt);
        entry.finalDisposition = used ? Disposition.USED : Disposition.FAILED;
        entries.put(tokenId, entry);
    }

    /** Records the session that was created for the token's request. */
    public void assignSession(String tokenId, String session, boolean paid, double expiresAt) {
        Entry entry = entries.computeIfAbsent(tokenId, id -> new Entry(paid, expiresAt));
        if (entry.session != null || entry.finalDisposition != null) {
            throw new IllegalTransitionException("the token already has a session or a final result");
        }
        entry.session = session;
    }

    /**
     * Records the end of the token's session.
     *
     * @param answer the answer to the request, null when the viewer left before the answer
     * @param mayHaveRun true when an attempt may have run
     * @param retryAfterMs the wait that was sent with a refusal, ms
     */
    public void endSession(double now, String tokenId, Answer answer, boolean mayHaveRun, double retryAfterMs) {
        Entry entry = entries.get(tokenId);
        if (entry == null) {
            return;
        }
        entry.session = null;
        if (answer == Answer.PLAYS) {
            entry.finalDisposition = Disposition.USED;
        } else if (entry.paid && mayHaveRun) {
            // A viewer that left during a paid set-up gets the answer it would have received then.
            entry.finalDisposition = Disposition.FAILED;
        } else {
            entry.finalDisposition = null;
            entry.refusedBefore = true;
            entry.refusedAt = answer == Answer.REFUSED ? now : Double.NEGATIVE_INFINITY;
            entry.retryAfterMs = retryAfterMs;
        }
    }

    /** Removes ids whose tokens have expired: such tokens are rejected because of their expiry time alone. */
    public void removeExpired(double now) {
        if (now - sweptAt < MIN_SWEEP_INTERVAL_MS) {
            return;
        }
        sweptAt = now;
        entries.values().removeIf(entry -> entry.session == null && entry.expiresAt < now);
    }

    /** Number of token ids in the table. */
    public int size() {
        return entries.size();
    }
}
