package spanrill.check;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Map;

/**
 * A record of something observed at a socket or done to a process. All records of a run share one clock. In the file,
 * {@code kind} names the type, and the record components are the keys of the JSON object.
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
    /** Time of the event, in ms of the recorder's clock. */
    double t();

    /**
     * Parameters of the run that the rules depend on; the first record of a file.
     *
     * @param t time of the record, in ms
     * @param classes parameters of the classes, by name
     * @param places maximum number of sessions that a box runs
     * @param drainGraceMs time after the notice of a drain in which a front may still send set-ups to the box, in ms
     * @param coldMs time for which a box is cold after its start, in ms
     * @param coldShare share of its set-up rate that a box has at its start
     * @param fallMultiple allowed multiple of a cold box's set-up rate
     * @param fallMs window in which set-ups at a cold box are counted, in ms
     * @param spareAttempts further attempts allowed in a window regardless of the requests; null when further attempts
     *     are not limited
     * @param attemptShare further attempts allowed for each request in a window; null like {@code spareAttempts}
     * @param attemptWindowMs window of the attempt budget, in ms; null like {@code spareAttempts}
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

    /**
     * Parameters of a class that the rules depend on.
     *
     * @param once true for a paid class, whose sessions may be set up only once
     * @param floor lowest allowed rung
     * @param seats maximum number of sessions of a title that a front holds; 0 for no limit
     */
    record ClassParameters(boolean once, int floor, int seats) {}

    /**
     * A viewer wrote a request for a session.
     *
     * @param t time at which the viewer wrote the request, in ms
     * @param ask number of the request
     * @param front number of the front
     * @param token id of the token
     * @param cls class of the session
     * @param title requested title
     * @param patienceMs time for which the viewer waits for the answer, in ms
     */
    record Request(double t, long ask, int front, String token, String cls, String title, double patienceMs)
            implements TraceEvent {
        /** Name of the viewer. A token's id is the name of its viewer, a dot and a count. */
        public String viewer() {
            int dot = token.lastIndexOf('.');
            return dot < 0 ? token : token.substring(0, dot);
        }
    }

    /**
     * A viewer read the head of an answer.
     *
     * @param t time at which the viewer read the head, in ms
     * @param ask number of the request
     * @param status HTTP status; 0 for data that the viewer did not ask for
     * @param answer "plays", "refused", "failed", "none" when the front never accepted the request, or "unasked" for
     *     data that the viewer did not ask for
     */
    record Answer(double t, long ask, int status, String answer) implements TraceEvent {}

    /** A request ended without an answer because the viewer left or the connection was lost. */
    record RequestAborted(double t, long ask, boolean viewerLeft) implements TraceEvent {}

    /** A viewer gave up a request without an answer, a little later than the stated patience. */
    record RequestTimedOut(double t, long ask) implements TraceEvent {}

    /** A viewer arrived and wants to watch, whether or not a front is reachable. */
    record ViewerArrived(double t, String viewer, String cls) implements TraceEvent {}

    /** A viewer left for good; {@code why} is the reason in one word, such as watched, refused, failed or left. */
    record ViewerDeparted(double t, String viewer, String why) implements TraceEvent {}

    /**
     * An established session ended before its viewer wanted to stop.
     *
     * @param t time at which the viewer noticed the end, in ms
     * @param token id of the token
     * @param front number of the front
     * @param status status of the answer that reported the end; 0 when the connection was lost, -1 when the viewer lost
     *     patience with a segment
     * @param why the front's reason in one word, or null
     */
    record SessionBroken(double t, String token, int front, int status, String why) implements TraceEvent {}

    /** A viewer read a complete segment. */
    record SegmentReceived(double t, String token, int front, int rung, long bytes, double tookMs)
            implements TraceEvent {}

    /**
     * A box read a set-up.
     *
     * @param t time at which the box read the set-up, in ms
     * @param box id of the box
     * @param front number of the front
     * @param token id of the token
     * @param key key of the attempt
     * @param cls class of the session
     * @param title requested title
     * @param rung rung at which the session starts
     * @param spends true when the set-up spends the token
     * @param continues key of the attempt that a moved session continues, or null
     */
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

    /** A box began to run a session, whether or not its answer was sent. */
    record AttemptStarted(double t, String key) implements TraceEvent {}

    /** A box answered the cancellation of an attempt; if {@code ran} is false, the attempt did not and will not run. */
    record CancelAnswer(double t, String key, boolean ran) implements TraceEvent {}

    /** An attempt ended: its box read a release or a cancellation, lost the connection, or ended the session itself. */
    record AttemptEnded(double t, String key, String why) implements TraceEvent {}

    /** A box read a change of a session's rung. */
    record RungChanged(double t, String key, int rung) implements TraceEvent {}

    /** The process of a box began to listen; {@code cold} is false when the box counts as warmed up long ago. */
    record BoxStarted(double t, String box, boolean cold) implements TraceEvent {}

    /** The process of a box ended. */
    record BoxStopped(double t, String box, String why) implements TraceEvent {}

    /**
     * A box stopped or resumed reading and writing.
     *
     * @param t time of the change, in ms
     * @param box id of the box
     * @param on true when the box became mute, false when it resumed
     * @param from hall whose fronts are affected, or null for all fronts
     */
    record BoxMuted(double t, String box, boolean on, String from) implements TraceEvent {}

    /** The registry sent the state of a box to a front. */
    record BoxStateSent(double t, int front, String box, String state, double startedAt) implements TraceEvent {}

    /** The process of a front started. */
    record FrontStarted(double t, int front) implements TraceEvent {}

    /** The process of a front ended. */
    record FrontStopped(double t, int front) implements TraceEvent {}

    /** The process of a front stalled for {@code ms} milliseconds, starting at {@code t}. */
    record FrontStalled(double t, int front, double ms) implements TraceEvent {}
}
