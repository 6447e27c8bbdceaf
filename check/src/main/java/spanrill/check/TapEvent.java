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
    @JsonSubTypes.Type(value = TapEvent.Facts.class, name = "facts"),
    @JsonSubTypes.Type(value = TapEvent.Ask.class, name = "ask"),
    @JsonSubTypes.Type(value = TapEvent.Answer.class, name = "answer"),
    @JsonSubTypes.Type(value = TapEvent.AskLost.class, name = "askLost"),
    @JsonSubTypes.Type(value = TapEvent.NoAnswer.class, name = "noAnswer"),
    @JsonSubTypes.Type(value = TapEvent.Came.class, name = "came"),
    @JsonSubTypes.Type(value = TapEvent.Went.class, name = "went"),
    @JsonSubTypes.Type(value = TapEvent.Broke.class, name = "broke"),
    @JsonSubTypes.Type(value = TapEvent.Segment.class, name = "segment"),
    @JsonSubTypes.Type(value = TapEvent.SetUp.class, name = "setUp"),
    @JsonSubTypes.Type(value = TapEvent.SetUpAnswer.class, name = "setUpAnswer"),
    @JsonSubTypes.Type(value = TapEvent.Ran.class, name = "ran"),
    @JsonSubTypes.Type(value = TapEvent.CallOffAnswer.class, name = "callOffAnswer"),
    @JsonSubTypes.Type(value = TapEvent.End.class, name = "end"),
    @JsonSubTypes.Type(value = TapEvent.Rung.class, name = "rung"),
    @JsonSubTypes.Type(value = TapEvent.BoxStart.class, name = "boxStart"),
    @JsonSubTypes.Type(value = TapEvent.BoxDown.class, name = "boxDown"),
    @JsonSubTypes.Type(value = TapEvent.BoxMute.class, name = "boxMute"),
    @JsonSubTypes.Type(value = TapEvent.Told.class, name = "told"),
    @JsonSubTypes.Type(value = TapEvent.FrontUp.class, name = "frontUp"),
    @JsonSubTypes.Type(value = TapEvent.FrontDown.class, name = "frontDown"),
    @JsonSubTypes.Type(value = TapEvent.FrontStall.class, name = "frontStall")
})
public sealed interface TapEvent {
    /** When. */
    double t();

    /**
     * What the rules are measured by; the first record.
     *
     * @param classes classes by name
     * @param places streams that a box runs at most
     * @param spareAttempts null: further attempts are free
     */
    record Facts(
            double t,
            Map<String, ClassFacts> classes,
            double places,
            double drainGraceMs,
            double coldMs,
            double coldShare,
            double fallMultiple,
            double fallMs,
            Double spareAttempts,
            Double attemptShare,
            Double attemptWindowMs)
            implements TapEvent {}

    /** What the rules need of a class. */
    record ClassFacts(boolean once, int floor, int seats) {}

    /** A viewer wrote a request for a session; {@code ask} numbers it. */
    record Ask(double t, long ask, int front, String token, String cls, String title, double patienceMs)
            implements TapEvent {
        /** Its viewer: a token's id is its viewer's name, a dot and a count. */
        public String viewer() {
            int dot = token.lastIndexOf('.');
            return dot < 0 ? token : token.substring(0, dot);
        }
    }

    /** A viewer read the head of an answer: plays, refused, failed, or none when it was never taken. */
    record Answer(double t, long ask, int status, String answer) implements TapEvent {}

    /** A request ended without an answer: the viewer left, or its connection was lost. */
    record AskLost(double t, long ask, boolean viewerLeft) implements TapEvent {}

    /** A viewer's patience with a request was up, a little later than stated; it went away then. */
    record NoAnswer(double t, long ask) implements TapEvent {}

    /** A viewer wants to watch, from now on, whether or not a front can be reached. */
    record Came(double t, String viewer, String cls) implements TapEvent {}

    /** A viewer does not come again; {@code why} in a word, such as watched, refused, failed, left. */
    record Went(double t, String viewer, String why) implements TapEvent {}

    /**
     * A playing session ended before its viewer wished it.
     *
     * @param status status of the answer that told it, 0 when the connection was lost, -1 when the viewer had
     *     no more patience with a segment
     * @param why the front's word for it, or null
     */
    record Broke(double t, String token, int front, int status, String why) implements TapEvent {}

    /** A viewer read a segment whole. */
    record Segment(double t, String token, int front, int rung, long bytes, double tookMs) implements TapEvent {}

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
            implements TapEvent {}

    /** A box wrote its answer to a set-up. */
    record SetUpAnswer(double t, String key, int status, String reason) implements TapEvent {}

    /** A box began to run a session, whether or not its answer went out. */
    record Ran(double t, String key) implements TapEvent {}

    /** A box wrote its answer to a call-off: whether the attempt ran there; if not, it never will. */
    record CallOffAnswer(double t, String key, boolean ran) implements TapEvent {}

    /** A box read a release or call-off, or saw an attempt's connection end, or ended a session itself. */
    record End(double t, String key, String why) implements TapEvent {}

    /** A box read a rung. */
    record Rung(double t, String key, int rung) implements TapEvent {}

    /** A box's process began to listen; {@code cold} unless it was long warm. */
    record BoxStart(double t, String box, boolean cold) implements TapEvent {}

    /** A box's process ended. */
    record BoxDown(double t, String box, String why) implements TapEvent {}

    /** A box neither reads nor writes: to all, or, where {@code from} names a hall, to the fronts there. */
    record BoxMute(double t, String box, boolean on, String from) implements TapEvent {}

    /** The registry wrote to a front what a box's state is. */
    record Told(double t, int front, String box, String state, double startedAt) implements TapEvent {}

    /** A front's process began. */
    record FrontUp(double t, int front) implements TapEvent {}

    /** A front's process ended. */
    record FrontDown(double t, int front) implements TapEvent {}

    /** A front's process stood still. */
    record FrontStall(double t, int front, double ms) implements TapEvent {}
}
