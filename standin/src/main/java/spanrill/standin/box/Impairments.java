package spanrill.standin.box;

import java.util.HashSet;
import java.util.Set;

/** What troubles do to a box just now. */
public final class Impairments {
    /** Set-ups take so many times as long. */
    double slow = 1;
    /** Notes come so much later. */
    double lateMs;
    /** Share of set-ups whose answer is lost. */
    double answerLost;
    /** Neither reads nor writes. */
    boolean mute;
    /** Halls that it can't be reached from. */
    final Set<String> cut = new HashSet<>();

    /** Set-ups take so many times as long. */
    public void setSetUpSlowdown(double times) {
        slow = times;
    }

    /** Notes come so much later. */
    public void setNoteDelayMs(double ms) {
        lateMs = ms;
    }

    /** This share of answers is lost. */
    public void setLostAnswerShare(double share) {
        answerLost = share;
    }

    /** Fronts of this hall reach it, or don't. */
    public void setUnreachableFrom(String zone, boolean on) {
        if (on) {
            cut.add(zone);
        } else {
            cut.remove(zone);
        }
    }

    boolean isUnreachableFrom(String zone) {
        return mute || cut.contains(zone);
    }
}
