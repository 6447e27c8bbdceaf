package spanrill.check;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Map;

/**
 * Something seen at a socket, or done to a process, at a time in milliseconds of the recorder's one
 * clock.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.RunParameters.class, name = "facts"),
    @JsonSubTypes.Type(value = TraceEvent.Request.class, name = "ask"),
    @JsonSubTypes.Type(value = TraceEvent.Answer.class, name = "answer"),
    @JsonSubTypes.Type(value = TraceEvent.RequestAborted.class, name = "askLost"),
    @JsonSubTypes.Type(value = TraceEvent.RequestTimedOut.class, name = "noAnswer"),
    @JsonSubTypes.Type(value = TraceEvent.ViewerArrived.class, name = "came"),
    @JsonSubTypes.Type(value = TraceEvent.ViewerDeparted.class, name = "went"),
    @JsonSubTypes.Type(value = TraceEvent.SessionBroken.class, name = "broke"),
    @JsonSubTypes.Type(value = TraceEvent.SegmentReceived.class, name = "segment"),
    @JsonSubTypes.Type(value = TraceEvent.SetUp.class, name = "setUp"),
    @JsonSubTypes.Type(value = TraceEvent.SetUpAnswer.class, name = "setUpAnswer"),
    @JsonSubTypes.Type(value = TraceEvent.AttemptStarted.class, name = "ran"),
    @JsonSubTypes.Type(value = TraceEvent.CancelAnswer.class, name = "callOffAnswer"),
    @JsonSubTypes.Type(value = TraceEvent.AttemptEnded.class, name = "end"),
    @JsonSubTypes.Type(value = TraceEvent.RungChanged.class, name = "rung"),
    @JsonSubTypes.Type(value = TraceEvent.BoxStarted.class, name = "boxStart"),
    @JsonSubTypes.Type(value = TraceEvent.BoxStopped.class, name = "boxDown"),
    @JsonSubTypes.Type(value = TraceEvent.BoxMuted.class, name = "boxMute"),
    @JsonSubTypes.Type(value = TraceEvent.BoxStateSent.class, name = "told"),
    @JsonSubTypes.Type(value = TraceEvent.FrontStarted.class, name = "frontUp"),
    @JsonSubTypes.Type(value = TraceEvent.FrontStopped.class, name = "frontDown"),
    @JsonSubTypes.Type(value = TraceEvent.FrontStalled.class, name = "frontStall")
})
public sealed interface TraceEvent {
    /** When. */
    double t();

    /**
     * What the rules are measured by; the first record.
     *
     * @param classes classes by name
     * @param places streams that a box runs at most
     * @param spareAttempts null: further attempts are free
     */
    record RunParameters(
            double t,
            Map<String, ClassParameters> classes,
            double places,
            double drainGraceMs,
            double coldMs,
            double coldShare,
            double fallMultiple,
            double fallMs,
            Double spareAttempts,
            Double attemptShare,
            Double attemptWindowMs)
            implements TraceEvent {}

    /** What the rules need of a class. */
    record ClassParameters(boolean once, int floor, int seats) {}

    /** A viewer wrote a request for a session; {@code ask} numbers it. */
    record Request(double t, long ask, int front, String token, String cls, String title, double patienceMs)
            implements TraceEvent {
        /** Its viewer: a token's id is its viewer's name, a dot and a count. */
        public String viewer() {
            int dot = token.lastIndexOf('.');
            return dot < 0 ? token : token.substring(0, dot);
        }
    }

    /** A viewer read the head of an answer: plays, refused, failed, or none when it was never taken. */
    record Answer(double t, long ask, int status, String answer) implements TraceEvent {}

    /** A request ended without an answer: the viewer left, or its connection was lost. */
    record RequestAborted(double t, long ask, boolean viewerLeft) implements TraceEvent {}

    /** A viewer's patience with a request was up, a little later than stated; it went away then. */
    record RequestTimedOut(double t, long ask) implements TraceEvent {}

    /** A viewer wants to watch, from now on, whether or not a front can be reached. */
    record ViewerArrived(double t, String viewer, String cls) implements TraceEvent {}

    /** A viewer does not come again; {@code why} in a word, such as watched, refused, failed, left. */
    record ViewerDeparted(double t, String viewer, String why) implements TraceEvent {}

    /**
     * A playing session ended before its viewer wished it.
     *
     * @param status status of the answer that told it, 0 when the connection was lost, -1 when the viewer had
     *     no more patience with a segment
     * @param why the front's word for it, or null
     */
    record SessionBroken(double t, String token, int front, int status, String why) implements TraceEvent {}

    /** A viewer read a segment whole. */
    record SegmentReceived(double t, String token, int front, int rung, long bytes, double tookMs)
            implements TraceEvent {}

    /** A box read a set-up. */
    record SetUp(
            double t,
            String box,
            int front,
            String token,
            String key,
            String cls,
            String title,
            int rung,
            boolean spends,
            String continues)
            implements TraceEvent {}

    /** A box wrote its answer to a set-up. */
    record SetUpAnswer(double t, String key, int status, String reason) implements TraceEvent {}

    /** A box began to run a session, whether or not its answer went out. */
    record AttemptStarted(double t, String key) implements TraceEvent {}

    /** A box wrote its answer to a call-off: whether the attempt ran there; if not, it never will. */
    record CancelAnswer(double t, String key, boolean ran) implements TraceEvent {}

    /** A box read a release or call-off, or saw an attempt's connection end, or ended a session itself. */
    record AttemptEnded(double t, String key, String why) implements TraceEvent {}

    /** A box read a rung. */
    record RungChanged(double t, String key, int rung) implements TraceEvent {}

    /** A box's process began to listen; {@code cold} unless it was long warm. */
    record BoxStarted(double t, String box, boolean cold) implements TraceEvent {}

    /** A box's process ended. */
    record BoxStopped(double t, String box, String why) implements TraceEvent {}

    /** A box neither reads nor writes: to all, or, where {@code from} names a hall, to the fronts there. */
    record BoxMuted(double t, String box, boolean on, String from) implements TraceEvent {}

    /** The registry wrote to a front what a box's state is. */
    record BoxStateSent(double t, int front, String box, String state, double startedAt) implements TraceEvent {}

    /** A front's process began. */
    record FrontStarted(double t, int front) implements TraceEvent {}

    /** A front's process ended. */
    record FrontStopped(double t, int front) implements TraceEvent {}

    /** A front's process stood still. */
    record FrontStalled(double t, int front, double ms) implements TraceEvent {}
}
