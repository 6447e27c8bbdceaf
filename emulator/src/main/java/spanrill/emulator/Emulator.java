package spanrill.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spanrill.Control;
import spanrill.check.Tap;
import spanrill.check.TapEvent;
import spanrill.day.Day;
import spanrill.day.Plan;
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
    public record Run(List<TapEvent> records, Figures figures, double beganAt, long events) { }

    private Emulator() { }

    /** Plays a day with the module. */
    public static Run play(Day day, long seed, Path taps) throws IOException {
        return play(day, seed, taps, Control::new);
    }

    /**
     * Plays a day.
     *
     * @param taps file that the records are written to as well, or null
     * @param policy makes what decides in each front
     */
    public static Run play(Day day, long seed, Path taps, SessionCore.Policy policy) throws IOException {
        try (Tap tap = new Tap(taps)) {
            tap.put(facts(day));
            World world = new World(day, seed, tap, Costs.usual(), policy);
            world.play(new Plan(day, seed));
            return new Run(tap.events(), world.figures(), World.BEGIN_MS, world.events());
        }
    }

    /** What the rules of a day are measured by: the first record of each of its runs. */
    public static TapEvent.Facts facts(Day day) {
        Map<String, TapEvent.ClassFacts> classes = new TreeMap<>();
        day.classes().forEach((cls, c) -> classes.put(cls, new TapEvent.ClassFacts(c.once(), c.floor(),
                c.seats())));
        Day.Rules rules = day.rules();
        return new TapEvent.Facts(0, classes, day.boxes().places(), rules.drainGraceMs(),
                day.boxes().coldMs(),
                day.boxes().coldShare(), rules.fallMultiple(), rules.fallMs(), rules.spareAttempts(),
                rules.attemptShare(), rules.attemptWindowMs());
    }
}
