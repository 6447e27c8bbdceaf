package spanrill.model.crowd;

/** New sessions a second, as a function of time; {@link #peakPerS} bounds it. */
public interface ArrivalRate {
    /** At a time. */
    double perS(double t);

    /** Never more than this. */
    double peakPerS();

    /** The same all the time. */
    static ArrivalRate constant(double perS) {
        return of(perS, t -> perS);
    }

    /** A sine around the mean: so much above and below it. */
    static ArrivalRate wave(double perS, double swing, double lengthMs) {
        return of(perS * (1 + swing), t -> perS * (1 + swing * Math.sin(2 * Math.PI * t / lengthMs)));
    }

    /** Only from one time to another. */
    static ArrivalRate burst(double perS, double fromMs, double toMs) {
        return of(perS, t -> t >= fromMs && t < toMs ? perS : 0);
    }

    /**
     * The final whistle: a jump at a time that dies away exponentially. The sum over all time is {@code perS}
     * times {@code fadeMs}.
     */
    static ArrivalRate flashCrowd(double perS, double atMs, double fadeMs) {
        return of(perS, t -> t < atMs ? 0 : perS * Math.exp((atMs - t) / fadeMs));
    }

    private static ArrivalRate of(double peak, java.util.function.DoubleUnaryOperator rate) {
        return new ArrivalRate() {
            @Override
            public double perS(double t) {
                return rate.applyAsDouble(t);
            }

            @Override
            public double peakPerS() {
                return peak;
            }
        };
    }
}
