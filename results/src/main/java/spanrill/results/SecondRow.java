package spanrill.results;

/**
 * One second of one session at a box. All bytes are those that cross the sockets (the day's byte scale
 * applied).
 *
 * @param second from the start of the run
 * @param token its token
 * @param cls class
 * @param front front that set it up
 * @param box box
 * @param rack rack
 * @param rung rung at the end of the second
 * @param asked rate that it asks, bytes a second
 * @param linkGives what its box's link gives, bytes a second
 * @param uplinkGives what its rack's uplink gives, bytes a second
 * @param granted bytes that the model granted it in this second
 * @param received bytes that its viewer's socket gave in this second
 * @param ms length of the second as it was
 * @param busy true when it asked for bytes all the time
 * @param cut true when its link or uplink was asked for more than it gives all through the second
 * @param steady true when nothing changed the shares in its rack
 */
public record SecondRow(
        int second,
        String token,
        String cls,
        int front,
        int box,
        int rack,
        int rung,
        long asked,
        long linkGives,
        long uplinkGives,
        double granted,
        long received,
        double ms,
        boolean busy,
        boolean cut,
        boolean steady) {
    /** Share of its rate that was granted. */
    public double grantedShare() {
        return asked <= 0 || ms <= 0 ? 1 : granted / (asked * ms / 1000);
    }
}
