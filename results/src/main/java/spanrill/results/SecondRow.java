package spanrill.results;

/**
 * One second of one session at a box. All byte counts are bytes on the sockets (the day's byte scale applied).
 *
 * @param second second since the start of the run
 * @param token token of the session
 * @param cls class of the session
 * @param front number of the front that set up the session
 * @param box number of the box
 * @param rack number of the rack
 * @param rung rung at the end of the second
 * @param asked rate that the session requests, in bytes per second
 * @param linkGives capacity of the box's link, in bytes per second
 * @param uplinkGives capacity of the rack's uplink, in bytes per second
 * @param granted bytes that the model granted the session in this second
 * @param received bytes that the viewer's socket received in this second
 * @param ms measured length of the second, in ms
 * @param busy true when the session requested bytes during the whole second
 * @param cut true when the demand on its link or uplink exceeded the capacity during the whole second
 * @param steady true when no event changed the shares in its rack during the second
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
    /** Share of the requested rate that the model granted; 1 when nothing was requested. */
    public double grantedShare() {
        return asked <= 0 || ms <= 0 ? 1 : granted / (asked * ms / 1000);
    }
}
