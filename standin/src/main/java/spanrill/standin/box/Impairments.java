package spanrill.standin.box;

import java.util.HashSet;
import java.util.Set;

/** The impairments that troubles of the day impose on a box at present. */
public final class Impairments {
    /** Factor on the duration of set-ups. */
    double setUpSlowdown = 1;
    /** Additional delay of notes, in ms. */
    double noteDelayMs;
    /** Share of set-ups whose answer is lost, from 0 to 1. */
    double lostAnswerShare;
    /** True while the box neither reads nor writes. */
    boolean unresponsive;
    /** Halls whose fronts cannot reach the box. */
    final Set<String> unreachableFrom = new HashSet<>();

    /** Multiplies the duration of set-ups by a factor. */
    public void setSetUpSlowdown(double factor) {
        setUpSlowdown = factor;
    }

    /** Delays notes by an additional time in ms. */
    public void setNoteDelayMs(double delayMs) {
        noteDelayMs = delayMs;
    }

    /** Sets the share of set-ups whose answer is lost, from 0 to 1. */
    public void setLostAnswerShare(double share) {
        lostAnswerShare = share;
    }

    /** Makes the box unreachable or reachable for fronts of a hall. */
    public void setUnreachableFrom(String zone, boolean unreachable) {
        if (unreachable) {
            unreachableFrom.add(zone);
        } else {
            unreachableFrom.remove(zone);
        }
    }

    boolean isUnreachableFrom(String zone) {
        return unresponsive || unreachableFrom.contains(zone);
    }
}
