package spanrill.node.session;

import java.util.HashMap;
import java.util.Map;
import spanrill.SessionControl;
import spanrill.wire.platform.SetUp;

/** What the settings allow a set-up to ask for. */
final class SetUpLimits {
    private final Map<String, Boolean> onceByClass = new HashMap<>();
    private final int cells;
    private final int rungs;

    SetUpLimits(SessionControl.Settings settings) {
        settings.classes().forEach(c -> onceByClass.put(c.name(), c.once()));
        cells = settings.cells();
        rungs = settings.rungKb().size();
    }

    /** True when the settings have such a class, cells, copies and a rung as this asks for. */
    boolean allow(SetUp setUp) {
        return onceByClass.containsKey(setUp.className())
                && setUp.attributes().home() < cells
                && setUp.attributes().copies() >= 1
                && setUp.attributes().copies() <= cells
                && setUp.attributes().top() < rungs;
    }

    /** True when a set-up of this class may not run twice. */
    boolean once(String className) {
        return onceByClass.get(className);
    }

    /** True when the value names a rung of the ladder. */
    boolean isRung(double value) {
        return value >= 0 && value < rungs && value == Math.rint(value);
    }
}
