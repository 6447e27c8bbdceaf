package spanrill.decisions;

import java.util.List;

/** Which viewers' connection makes place for a new one, and which takes what is owed on no other. */
public final class ViewerRoom {
    /** None. */
    public static final int NONE = -1;

    private ViewerRoom() { }

    /**
     * A connection that may have to go.
     *
     * @param spare true when nobody waits for an answer on it
     * @param proven true when something useful came on it
     */
    public record Held(boolean spare, boolean proven) { }

    /** The oldest on which nobody waits, one that brought nothing useful first; they come oldest first. */
    public static int toClose(List<Held> held) {
        int chosen = NONE;
        for (int i = 0; i < held.size(); i++) {
            if (held.get(i).spare() && (chosen == NONE || !held.get(i).proven()
                    && held.get(chosen).proven())) {
                chosen = i;
            }
        }
        return chosen;
    }

    /**
     * A connection that may take what is owed.
     *
     * @param reaches true when viewers are served on it and it can be written to
     * @param usefulAt when something useful came on it last, ms
     */
    public record Way(boolean reaches, double usefulAt) { }

    /**
     * The one on which something useful came last, but not the one given last time while there is another:
     * what was not heard on one may be heard on the next.
     *
     * @param last index of the one given last time, or {@link #NONE}
     */
    public static int toTell(List<Way> ways, int last) {
        int best = NONE;
        int second = NONE;
        for (int i = 0; i < ways.size(); i++) {
            if (!ways.get(i).reaches()) {
                continue;
            }
            if (best == NONE || ways.get(i).usefulAt() > ways.get(best).usefulAt()) {
                second = best;
                best = i;
            } else if (second == NONE || ways.get(i).usefulAt() > ways.get(second).usefulAt()) {
                second = i;
            }
        }
        return best == last && second != NONE ? second : best;
    }
}
