package spanrill.standin.trouble;

/** What troubles may do to fronts. */
public interface FrontControl {
    /** How many. */
    int count();

    /** Kills its process outright. */
    void kill(int front);

    /** Starts it again. */
    void restart(int front);

    /** Lets its process stand still, or go on. */
    void stall(int front, boolean on);
}
