package spanrill.standin.viewer;

import spanrill.check.Tap;
import spanrill.standin.box.Receipts;
import spanrill.standin.day.Day;
import spanrill.standin.token.Issuer;

/** What all viewers of a day share. */
public record Stage(Day day, FrontDoor door, Issuer issuer, Tap tap, Receipts receipts, CrowdStats stats) { }
