package spanrill.standin.viewer;

import spanrill.check.EventRecorder;
import spanrill.day.Day;
import spanrill.model.hall.HallHealNotifier;
import spanrill.standin.box.ReceivedBytes;
import spanrill.standin.token.Issuer;

/**
 * What all viewers of a day share.
 *
 * @param runId begins every token's id: fronts whose folders are kept remember the paid tokens of earlier runs
 */
public record ViewerContext(
        Day day,
        FrontLocator frontLocator,
        Issuer issuer,
        EventRecorder tap,
        ReceivedBytes receivedBytes,
        ViewerStats stats,
        HallHealNotifier hallWatch,
        String runId) {}
