package spanrill.standin.day;

/**
 * A viewer who comes.
 *
 * @param atMs when, from the start of the day
 * @param number from 0
 * @param cls class
 * @param title number of the title
 * @param zone number of the hall
 * @param sessionMs how long it wants to watch
 * @param top highest rung that it can use
 * @param leavesMs leaves so long after it asked, or -1
 * @param doubles sends its token twice
 * @param seed of its own draws
 */
public record Arrival(double atMs, int number, String cls, int title, int zone, double sessionMs, int top,
        double leavesMs, boolean doubles, long seed) { }
