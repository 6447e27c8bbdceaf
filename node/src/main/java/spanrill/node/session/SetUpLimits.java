package spanrill.node.session;

import java.util.HashMap;
import java.util.Map;
import spanrill.SessionControl;
import spanrill.SessionControl.Kind;
import spanrill.wire.platform.SetUp;

/** The range of values that the settings allow in a set-up. */
final class SetUpLimits {
    private final Map<String, Boolean> onceByClass = new HashMap<>();
    // Sessions in the memory of a node, many times what its share of the servers can hold.
    private static final int MAX_SESSIONS = 4096;
    // A session may have ended at its server while its release is still on the way.
    private static final double ENDED_SESSIONS_FACTOR = 2;

    private final int cells;
    private final int rungs;
    private final double maxSessionsAtServer;

    SetUpLimits(SessionControl.Settings settings) {
        settings.classes().forEach(classSettings -> onceByClass.put(classSettings.name(), classSettings.once()));
        cells = settings.cells();
        rungs = settings.rungKb().size();
        double maxStreams =
                settings.kinds().stream().mapToDouble(Kind::places).max().orElse(MAX_SESSIONS);
        maxSessionsAtServer = ENDED_SESSIONS_FACTOR * maxStreams;
    }

    /** True when the settings have the class, cells, copies and top rung of a set-up. */
    boolean allows(SetUp setUp) {
        return onceByClass.containsKey(setUp.className())
                && setUp.attributes().home() < cells
                && setUp.attributes().copies() >= 1
                && setUp.attributes().copies() <= cells
                && setUp.attributes().top() < rungs;
    }

    /**
     * True when a session may be handed over to this node.
     *
     * @param atServer number of sessions that this node holds at the session's server
     * @param total number of sessions that it holds at all servers
     */
    boolean mayTakeOver(int atServer, int total) {
        return atServer < maxSessionsAtServer && total < MAX_SESSIONS;
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
