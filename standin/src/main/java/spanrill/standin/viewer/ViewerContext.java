package spanrill.standin.viewer;

import spanrill.check.EventRecorder;
import spanrill.day.Day;
import spanrill.model.hall.HallHealNotifier;
import spanrill.standin.box.ReceivedBytes;
import spanrill.standin.token.Issuer;

/**
 * Settings and services that all viewers of a day share.
 *
 * @param runId prefix of all token ids, unique per run: fronts that keep their folder remember the paid tokens of
 *     earlier runs
 */
public record ViewerContext(
        Day day,
        FrontLocator frontLocator,
        Issuer issuer,
        EventRecorder recorder,
        ReceivedBytes receivedBytes,
        ViewerStats stats,
        HallHealNotifier healNotifier,
        String runId) {}
