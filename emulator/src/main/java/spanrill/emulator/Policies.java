package spanrill.emulator;

import java.util.Locale;
import spanrill.Control;
import spanrill.emulator.baseline.Chooser;
import spanrill.emulator.baseline.RungRule;
import spanrill.emulator.baseline.Textbook;
import spanrill.session.SessionCore;

/**
 * Policies by their names: {@code module}, or a chooser and a rung rule such as {@code two-drawn:throughput}.
 */
public final class Policies {
    private Policies() {}

    /**
     * The policy of a name.
     *
     * @throws IllegalArgumentException with the names there are
     */
    public static SessionCore.ModuleFactory of(String name) {
        if (name.equals("module")) {
            return Control::new;
        }
        String[] parts = name.split(":", 2);
        Chooser chooser = named(Chooser.values(), parts[0]);
        RungRule rungs = named(RungRule.values(), parts.length < 2 ? "throughput" : parts[1]);
        if (chooser == null || rungs == null) {
            throw new IllegalArgumentException("there is no policy " + name
                    + ": module, or one of random, fewest, "
                    + "two-drawn, hash with :top, :lowest or :throughput");
        }
        return (settings, seed, actions) -> new Textbook(chooser, rungs, settings, seed, actions);
    }

    private static <T extends Enum<T>> T named(T[] all, String name) {
        for (T each : all) {
            if (each.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name)) {
                return each;
            }
        }
        return null;
    }
}
