package spanrill;

import java.util.List;

/**
 * The whole interface of the decision module: the settings it starts with, the events a front tells it, and
 * the actions it asks of the front. One object decides for one front.
 *
 * <p>All times are milliseconds on the front's own clock, which only advances; every event carries the time
 * at which it is told. Events are told one after the other, never from two threads at once. Actions are
 * called from within the event methods and take effect at once. A figure that is not known is
 * {@link Double#NaN}, a text that is not known is null. The module keeps no thread and no clock of its own.
 */
public interface SessionControl {

    /** What an attempt came to, and whether that proves that the server never ran it. */
    enum Outcome {
        /** The session was served to its end. */
        OK(false),
        /** The server returned an error. */
        ERROR(false),
        /** Turned away unseen: no place left, link full, or draining. */
        FULL(true),
        /** No answer in time; it may still run. */
        TIMEOUT(false),
        /** No connection could be had. */
        CONNECT_FAILED(true),
        /** The connection or the server was lost. */
        RESET(false),
        /** Called off: moved, or the viewer left. */
        CANCELLED(false),
        /** Never issued. */
        MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** True when this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** What the list says of a server. */
    enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /** What kind of list came: changes only, the whole, the whole as last kept, or none (a failed call). */
    enum ListKind {
        CHANGES,
        WHOLE,
        KEPT,
        FAILED
    }

    /** What a note about a playing session tells. */
    enum NoteKind {
        /** The share of its rate that is delivered at its server, late and smoothed. */
        DELIVERED,
        /** The rung in force of a session taken over. */
        RUNG,
        /** What is asked of the server's link over what it gives. */
        LINK_USE,
        /** What is asked of the rack's uplink over what it gives. */
        UPLINK_USE
    }

    /**
     * A class of session.
     *
     * @param name its name
     * @param aimMs wanted playing within this time
     * @param worth worth of one second at a rung of worth 1
     * @param once true when it is paid for at set-up and must be set up once at most
     * @param floor lowest rung that may be set
     * @param top highest rung of the class
     * @param scale its rates over those of the ladder
     * @param seats sessions of one title that this front may hold; 0: no cap
     */
    record ServiceClass(
            String name, double aimMs, double worth, boolean once, int floor, int top, double scale, int seats) {}

    /**
     * A tenant.
     *
     * @param name its name
     * @param share its share of the service
     * @param quotaPerS new sessions a second, over all fronts, within its share; NaN: not limited
     */
    record Tenant(String name, double share, double quotaPerS) {}

    /**
     * A kind of server.
     *
     * @param name its name
     * @param places streams that it runs at most
     */
    record Kind(String name, double places) {}

    /**
     * The figures of the rules.
     *
     * @param coldMs a server is warm after this time at the latest
     * @param coldShare it starts at this share of its capacity or above
     * @param fallMultiple sent more than this multiple of its present capacity
     * @param fallMs for this long, a cold server falls over
     * @param spareAttempts further attempts allowed however low the traffic; NaN: further attempts are free
     * @param attemptShare and further attempts allowed for each request taken
     * @param attemptWindowMs both counted over this time
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
     * The settings of one front, all known at its start.
     *
     * @param me number of this front
     * @param fronts number of fronts
     * @param zone zone of this front
     * @param classes the classes of session
     * @param tenants the tenants, may be empty
     * @param kinds the kinds of server
     * @param rungKb the ladder: rate of each rung, kB a second
     * @param rungWorth what each rung earns
     * @param cells number of cells
     * @param racks number of racks; a server's rack is its cell mod this
     * @param linksKb all links together at the start, kB a second
     * @param weightKb link of a server for each unit of its weight, kB a second
     * @param uplinkKb mean uplink of a rack, kB a second
     * @param stall points of worth lost for each point of the rate that is missing
     * @param changeCostMs what a change of rung costs, as time of the session's worth
     * @param seeMs how late notes are
     * @param tellMs time between two notes of use; 0: none
     * @param maxAttempts attempts allowed for one request
     * @param maxRetryAfterMs the longest stay-away a viewer observes
     * @param crossZonePrice price of a session that crosses zones
     * @param overShareWorth worth of a session beyond its tenant's share
     * @param rules the figures of the rules
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
     * A server as the list shows it.
     *
     * @param id its name
     * @param zone its zone
     * @param kind its kind
     * @param cell its cell
     * @param state what the list says of it
     * @param weight its size as listed
     * @param startedAt time of its last start; NaN: long ago
     */
    record Server(String id, String zone, String kind, int cell, ServerState state, double weight, double startedAt) {}

    /**
     * A viewer's request for a session, or a session that was under way when the front started.
     *
     * @param id its identifier, never used again
     * @param className its class
     * @param tenant its tenant, or null
     * @param key the viewer's session, the same when it comes again, or null
     * @param title what is watched
     * @param leftMs time left before the viewer gives up
     * @param home first cell that holds the title
     * @param copies cells in a row that hold it
     * @param top highest rung that this viewer can use
     * @param moved true when it comes back from a move of this front
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
     * @param inflight streams that it runs or sets up
     * @param link what is asked of its link over what the link gives
     * @param uplink the same of its rack's uplink
     */
    record Load(double inflight, double link, double uplink) {}

    /** What the module asks of the front. */
    interface Actions {
        /** Sets the session up at a server; the attempt is given up at the time {@code until}. */
        void send(String request, double until, String server);

        /** Sets the rung: free until the server has started the session. */
        void rate(String request, int rung);

        /** Takes a playing session off its server; its viewer soon comes back to this front. */
        void move(String request);

        /** Final answer: turned away, a later try is harmless; come back after so long. */
        void refuse(String request, double retryAfterMs);

        /** Final answer: failed, with no assurance about its effect. */
        void fail(String request);

        /** Asks for {@link SessionControl#timer} with this token after so long. */
        void timer(String token, double delayMs);

        /** A line for the operators. */
        void log(String text);
    }

    /** The front has started; told once, before all else. */
    void start(double now);

    /** A list of servers came. A server absent from a whole list is gone. */
    void servers(double now, ListKind kind, List<Server> servers);

    /** A request was taken. It gets one final answer: it plays, is refused or failed. */
    void request(double now, Request request);

    /** A session that was under way at the start, playing at this server; its rung follows as a note. */
    void takenOver(double now, Request request, String server);

    /** The session plays; its set-up took so long. */
    void playing(double now, String request, String server, double tookMs);

    /**
     * An attempt ended.
     *
     * @param closed true when the request is over; if not, the final answer is still owed
     * @param load the server's load report, or null
     */
    void ended(double now, String request, boolean closed, Outcome outcome, String server, Load load);

    /** A note about a playing session. */
    void note(double now, String request, String server, NoteKind kind, double value);

    /** The viewer has left, or the answer is overdue: nothing more is owed for the request. */
    void gone(double now, String request);

    /** A timer fell due. */
    void timer(double now, String token);
}
