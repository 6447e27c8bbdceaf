package spanrill.node.session;

import java.util.HashMap;
import java.util.Map;
import spanrill.SessionControl;
import spanrill.wire.platform.SetUp;

/** The range of values that the settings allow in a set-up. */
final class SetUpLimits {
    private final Map<String, Boolean> onceByClass = new HashMap<>();
    private final int cells;
    private final int rungs;

    SetUpLimits(SessionControl.Settings settings) {
        settings.classes().forEach(classSettings -> onceByClass.put(classSettings.name(), classSettings.once()));
        cells = settings.cells();
        rungs = settings.rungKb().size();
    }

    /** True when the settings have the class, cells, copies and top rung of a set-up. */
    boolean allows(SetUp setUp) {
        return onceByClass.containsKey(setUp.className())
                && setUp.attributes().home() < cells
                && setUp.attributes().copies() >= 1
                && setUp.attributes().copies() <= cells
                && setUp.attributes().top() < rungs;
    }

    /** True when a set-up of this class may run only once. */
    boolean runsOnce(String className) {
        return onceByClass.get(className);
    }

    /** True when the value names a rung of the ladder. */
    boolean isRung(double value) {
        return value >= 0 && value < rungs && value == Math.rint(value);
    }
}
