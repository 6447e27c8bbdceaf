package spanrill.model.crowd;

/** New sessions a second, as a function of time; {@link #peak} bounds it. */
public interface Rate {
    /** At a time. */
    double perS(double t);

    /** Never more than this. */
    double peak();

    /** The same all the time. */
    static Rate steady(double perS) {
        return of(perS, t -> perS);
    }

    /** A sine around the mean: so much above and below it. */
    static Rate wave(double perS, double swing, double lengthMs) {
        return of(perS * (1 + swing), t -> perS * (1 + swing * Math.sin(2 * Math.PI * t / lengthMs)));
    }

    /** Only from one time to another. */
    static Rate burst(double perS, double fromMs, double toMs) {
        return of(perS, t -> t >= fromMs && t < toMs ? perS : 0);
    }

    /**
     * The final whistle: a jump at a time that dies away exponentially. The sum over all time is {@code perS}
     * times {@code fadeMs}.
     */
    static Rate flashCrowd(double perS, double atMs, double fadeMs) {
        return of(perS, t -> t < atMs ? 0 : perS * Math.exp((atMs - t) / fadeMs));
    }

    private static Rate of(double peak, java.util.function.DoubleUnaryOperator rate) {
        return new Rate() {
            @Override
            public double perS(double t) {
                return rate.applyAsDouble(t);
            }

            @Override
            public double peak() {
                return peak;
            }
        };
    }
}
