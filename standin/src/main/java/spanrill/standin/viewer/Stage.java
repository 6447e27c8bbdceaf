package spanrill.standin.viewer;

import spanrill.check.EventRecorder;
import spanrill.day.Day;
import spanrill.model.hall.HallHealNotifier;
import spanrill.standin.box.Receipts;
import spanrill.standin.token.Issuer;

/**
 * What all viewers of a day share.
 *
 * @param run begins every token's id: fronts whose folders are kept remember the paid tokens of earlier runs
 */
public record Stage(
        Day day,
        FrontDoor door,
        Issuer issuer,
        EventRecorder tap,
        Receipts receipts,
        CrowdStats stats,
        HallHealNotifier halls,
        String run) {}
