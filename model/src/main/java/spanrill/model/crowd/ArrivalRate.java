package spanrill.model.crowd;

/** Rate of new sessions per second as a function of time, bounded by {@link #peakPerS}. */
public interface ArrivalRate {
    /** Returns the rate at time {@code t}, in ms. */
    double perS(double t);

    /** Returns an upper bound of the rate. */
    double peakPerS();

    /** Returns a rate that does not vary. */
    static ArrivalRate constant(double perS) {
        return of(perS, t -> perS);
    }

    /** Returns a sine wave with mean {@code perS}, relative amplitude {@code swing} and period {@code periodMs}. */
    static ArrivalRate wave(double perS, double swing, double periodMs) {
        return of(perS * (1 + swing), t -> perS * (1 + swing * Math.sin(2 * Math.PI * t / periodMs)));
    }

    /** Returns a rate that is {@code perS} from {@code fromMs} to {@code toMs} and 0 at all other times. */
    static ArrivalRate burst(double perS, double fromMs, double toMs) {
        return of(perS, t -> t >= fromMs && t < toMs ? perS : 0);
    }

    /**
     * Returns a rate that jumps to {@code perS} at {@code atMs}, as at the final whistle of a match, and then decays
     * exponentially with the time constant {@code fadeMs}. The integral over all time is {@code perS * fadeMs}.
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
