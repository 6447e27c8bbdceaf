package spanrill.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spanrill.Control;
import spanrill.check.EventRecorder;
import spanrill.check.TraceEvent;
import spanrill.day.Day;
import spanrill.day.DayPlan;
import spanrill.session.SessionCore;

/** Plays days in virtual time. Runs are independent of each other: as many at once as there are cores. */
public final class Emulator {
    /**
     * A run that was played.
     *
     * @param records what crossed the emulated sockets, in order of time
     * @param beganAt start of the day on the records' clock, ms
     * @param events events of the agenda
     */
    public record Run(List<TraceEvent> records, Figures figures, Worth worth, double beganAt, long events) {}

    /**
     * How a day is played.
     *
     * @param taps file that the records are written to as well, or null
     * @param policy makes what decides in each front
     * @param lookMs worth is looked at so often
     * @param bound also work out the most that could be earned then
     */
    public record Options(Path taps, SessionCore.ModuleFactory policy, double lookMs, boolean bound) {}

    private static final double LOOK_MS = 1000;

    private Emulator() {}

    /** Plays a day with the module. */
    public static Run play(Day day, long seed) throws IOException {
        return play(day, seed, new Options(null, Control::new, LOOK_MS, false));
    }

    /** Plays a day. */
    public static Run play(Day day, long seed, Options options) throws IOException {
        try (EventRecorder tap = new EventRecorder(options.taps())) {
            tap.record(facts(day));
            World world = new World(day, seed, tap, Costs.usual(), options.policy());
            world.play(new DayPlan(day, seed), options.lookMs(), options.bound());
            return new Run(tap.events(), world.figures(), world.worth().worth(), World.BEGIN_MS, world.events());
        }
    }

    /** What the rules of a day are measured by: the first record of each of its runs. */
    public static TraceEvent.RunParameters facts(Day day) {
        Map<String, TraceEvent.ClassParameters> classes = new TreeMap<>();
        day.classes()
                .forEach((cls, c) -> classes.put(cls, new TraceEvent.ClassParameters(c.once(), c.floor(), c.seats())));
        Day.Rules rules = day.rules();
        return new TraceEvent.RunParameters(
                0,
                classes,
                day.boxes().places(),
                rules.drainGraceMs(),
                day.boxes().coldMs(),
                day.boxes().coldShare(),
                rules.fallMultiple(),
                rules.fallMs(),
                rules.spareAttempts(),
                rules.attemptShare(),
                rules.attemptWindowMs());
    }
}
