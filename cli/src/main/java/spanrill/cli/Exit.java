package spanrill.cli;

/** Exit codes of every command. */
final class Exit {
    static final int HELD = 0;
    static final int BAD_INPUT = 2;
    static final int RULE_BROKEN = 3;
    static final int COULD_NOT_RUN = 4;

    private Exit() {}
}
