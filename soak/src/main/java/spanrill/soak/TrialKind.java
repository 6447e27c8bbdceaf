package spanrill.soak;

/** Families of trials; each draws its own mix of faults and habits. */
public enum TrialKind {
    /** Shutdowns one after another while servers hang, are replaced or fall silent. */
    SIGNALS,
    /** Discovery silent or down, drains near its return, configurations in quick succession. */
    DISCOVERY,
    /** Bad clients, early give-ups, repeated ids, messages in pieces. */
    CLIENTS,
    /** Servers that reset, hang, vanish and spoil answers. */
    NETWORK,
    /** A bit of all. */
    MIXED
}
