package spanrill;

import java.util.List;

/**
 * The whole interface of the decision module: the settings it starts with, the events a front reports to it, and the
 * actions it requests from the front. One instance decides for one front.
 *
 * <p>All times are milliseconds on the front's own clock, which only advances. Every event carries the time of its
 * call. Events are reported one after the other, never from two threads at once. Actions are called from within the
 * event methods and take effect at once. An unknown number is {@link Double#NaN}, an unknown text is null. The module
 * has no thread and no clock of its own.
 */
public interface SessionControl {

    /** Outcome of an attempt, and whether it proves that the server never ran the attempt. */
    enum Outcome {
        /** The session was served until it ended normally. */
        OK(false),
        /** The server returned an error. */
        ERROR(false),
        /** The server rejected the attempt without processing it: no free place, full link, draining or cold. */
        FULL(true),
        /** No answer in time. The attempt may still run. */
        TIMEOUT(false),
        /** No connection could be established. */
        CONNECT_FAILED(true),
        /** The connection or the server was lost. */
        RESET(false),
        /** The front cancelled the attempt: the session moves, or its viewer left. */
        CANCELLED(false),
        /** The attempt was never sent. */
        MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** State of a server in the server list. */
    enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * Kind of a server list: only the changes, the complete list, the complete list as last stored by this front, or
     * none because the call failed.
     */
    enum ListKind {
        CHANGES,
        WHOLE,
        KEPT,
        FAILED
    }

    /** What the value of a note about a playing session means. */
    enum NoteKind {
        /** Share of the session's rate that its server delivers, smoothed and late. */
        DELIVERED,
        /** Current rung of a session that was taken over. */
        RUNG,
        /** Load demanded from the server's link, as a share of its capacity. */
        LINK_USE,
        /** Load demanded from the rack's uplink, as a share of its capacity. */
        UPLINK_USE
    }

    /**
     * A class of session.
     *
     * @param name name of the class
     * @param aimMs target time from the request until the session plays
     * @param worth worth of one second of play at a rung of worth 1
     * @param once true when a session is paid for at set-up and must be set up at most once
     * @param floor lowest rung that may be set
     * @param top highest rung of the class
     * @param scale rates of the class as a multiple of those of the ladder
     * @param seats maximum number of sessions of one title at this front; 0: unlimited
     */
    record ServiceClass(
            String name, double aimMs, double worth, boolean once, int floor, int top, double scale, int seats) {}

    /**
     * A tenant.
     *
     * @param name name of the tenant
     * @param share share of the service that the tenant is entitled to
     * @param quotaPerS new sessions per second, summed over all fronts, up to which the tenant's sessions
     *     count as within its share; NaN: unlimited
     */
    record Tenant(String name, double share, double quotaPerS) {}

    /**
     * A kind of server.
     *
     * @param name name of the kind
     * @param places maximum number of concurrent streams
     */
    record Kind(String name, double places) {}

    /**
     * Limits for cold servers and for retries.
     *
     * @param coldMs time after its start within which a server is warm
     * @param coldShare smallest share of its capacity that a server has after its start
     * @param fallMultiple a cold server fails when it is sent more than this multiple of its present capacity
     * @param fallMs time for which {@code fallMultiple} must be exceeded to make a cold server fail
     * @param spareAttempts retries that are allowed at any request rate; NaN: retries are unlimited
     * @param attemptShare retries that are allowed in addition for each request received
     * @param attemptWindowMs time over which retries and requests are counted; NaN: retries are unlimited
     */
    record Rules(
            double coldMs,
            double coldShare,
            double fallMultiple,
            double fallMs,
            double spareAttempts,
            double attemptShare,
            double attemptWindowMs) {}

    /**
     * The settings of one front. All are known at its start and never change.
     *
     * @param me number of this front
     * @param fronts number of fronts
     * @param zone zone of this front
     * @param classes the classes of session
     * @param tenants the tenants, may be empty
     * @param kinds the kinds of server
     * @param rungKb the ladder: rate of each rung, kB a second
     * @param rungWorth worth of each rung
     * @param cells number of cells
     * @param racks number of racks; the rack of a server is its cell modulo this number
     * @param linksKb total capacity of all links at the start, kB a second
     * @param weightKb link capacity of a server for each unit of its weight, kB a second
     * @param uplinkKb mean capacity of a rack's uplink, kB a second
     * @param stall points of worth lost for each point of the rate that is not delivered
     * @param changeCostMs cost of a change of rung, as time of play in which the session earns the same worth
     * @param seeMs delay of notes
     * @param tellMs interval of a server's notes about utilization; 0: there are none
     * @param maxAttempts maximum number of attempts for one request
     * @param maxRetryAfterMs longest retry delay that viewers observe
     * @param crossZonePrice price of a session that crosses zones
     * @param overShareWorth worth of a session beyond its tenant's share, relative to one within it
     * @param rules limits for cold servers and for retries
     */
    record Settings(
            int me,
            int fronts,
            String zone,
            List<ServiceClass> classes,
            List<Tenant> tenants,
            List<Kind> kinds,
            List<Double> rungKb,
            List<Double> rungWorth,
            int cells,
            int racks,
            double linksKb,
            double weightKb,
            double uplinkKb,
            double stall,
            double changeCostMs,
            double seeMs,
            double tellMs,
            int maxAttempts,
            double maxRetryAfterMs,
            double crossZonePrice,
            double overShareWorth,
            Rules rules) {}

    /**
     * A server as the server list shows it.
     *
     * @param id name of the server
     * @param zone zone of the server
     * @param kind name of its kind
     * @param cell number of its cell
     * @param state listed state
     * @param weight listed size, relative to other servers
     * @param startedAt time of its last start; NaN: long ago
     */
    record Server(String id, String zone, String kind, int cell, ServerState state, double weight, double startedAt) {
        /** Returns the same server in another state. */
        public Server inState(ServerState newState) {
            return new Server(id, zone, kind, cell, newState, weight, startedAt);
        }
    }

    /**
     * A viewer's request for a session, or a session that was under way when the front started.
     *
     * @param id identifier of the request, never reused
     * @param className name of the class of session
     * @param tenant name of the tenant, or null
     * @param key identifier of the viewer's session, the same for each of its requests, or null
     * @param title title to play
     * @param leftMs time left before the viewer gives up
     * @param home first cell that holds the title
     * @param copies number of consecutive cells that hold the title
     * @param top highest rung that the viewer can use
     * @param moved true when the session returns after this front moved it off a server
     * @param returning true when it is not the viewer's first try
     */
    record Request(
            String id,
            String className,
            String tenant,
            String key,
            String title,
            double leftMs,
            int home,
            int copies,
            int top,
            boolean moved,
            boolean returning) {}

    /**
     * A load report of a server.
     *
     * @param inflight number of streams that the server runs or sets up
     * @param link load demanded from the server's link, as a share of its capacity
     * @param uplink load demanded from its rack's uplink, as a share of its capacity
     */
    record Load(double inflight, double link, double uplink) {}

    /** Actions that the module requests from the front. */
    interface Actions {
        /** Sends a set-up of the session to a server. The attempt times out at the time {@code until}. */
        void send(String request, double until, String server);

        /** Sets the rung of a session. A change has no cost until the server has started the session. */
        void rate(String request, int rung);

        /** Takes a playing session off its server. A new request for it follows at this front shortly after. */
        void move(String request);

        /** Final answer: refused. The viewer may safely try again after the given delay. */
        void refuse(String request, double retryAfterMs);

        /** Final answer: failed. An attempt may have taken effect. */
        void fail(String request);

        /** Starts a timer: {@link SessionControl#timer} is called with the key of the timer after the delay. */
        void timer(String timerKey, double delayMs);

        /** Writes a line to the operators' log. */
        void log(String text);
    }

    /** The front has started. Called once, before any other event. */
    void start(double now);

    /**
     * A server list was received, or the call for one failed. A server that is missing from a complete list is gone.
     *
     * @param kind whether the list is complete, holds only the changes, was stored by this front, or is missing
     * @param servers the listed servers
     */
    void servers(double now, ListKind kind, List<Server> servers);

    /** A request was received. It gets exactly one final answer: playing, refused or failed. */
    void request(double now, Request request);

    /** A session was already playing at this server when the front started. Its rung follows as a note. */
    void takenOver(double now, Request request, String server);

    /** The session plays. Its set-up took {@code tookMs}. */
    void playing(double now, String request, String server, double tookMs);

    /**
     * An attempt ended.
     *
     * @param closed true when the request has ended; false when its final answer is still pending
     * @param load the server's load report, or null
     */
    void ended(double now, String request, boolean closed, Outcome outcome, String server, Load load);

    /** A server sent a note about a playing session. */
    void note(double now, String request, String server, NoteKind kind, double value);

    /** The viewer has left, or the front answered an overdue request itself: no answer is pending any more. */
    void gone(double now, String request);

    /** The timer that {@link Actions#timer} started under this key has expired. */
    void timer(double now, String timerKey);
}
