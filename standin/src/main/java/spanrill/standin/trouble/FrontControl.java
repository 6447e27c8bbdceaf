package spanrill.standin.trouble;

/** Control of the front processes that troubles of a day act on. */
public interface FrontControl {
    /** Returns the number of fronts. */
    int count();

    /** Kills the process of a front without a graceful shutdown. */
    void kill(int front);

    /** Restarts a front that was killed. */
    void restart(int front);

    /** Pauses or resumes the process of a front. */
    void stall(int front, boolean paused);
}
