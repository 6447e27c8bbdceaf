package spanrill.emulator;

/**
 * What things take that the model of boxes and links doesn't say, in ms; as measured on sockets.
 *
 * @param tokenMs a token's signature
 * @param diskMs a paid token until it is safe on disk
 * @param startMs a front's process from its start until it listens
 * @param connectMs time-out of a connect to a box
 * @param settleMs time that a box has to say whether a lost set-up ran
 * @param controlMs a release or rung that isn't answered is given up after
 */
record Costs(double tokenMs, double diskMs, double startMs, double connectMs, double settleMs, double controlMs) {
    /** Those of the front's default settings and of a machine as in docs/front.md. */
    static Costs usual() {
        return new Costs(2.5, 3, 1200, 250, 300, 1000);
    }
}
