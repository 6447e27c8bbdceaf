package spanrill.soak;

/** Kinds of trials; each has its own mix of faults, client actions and server actions. */
public enum TrialKind {
    /** Node shutdowns one after another while servers hang, are replaced or stop communicating. */
    SIGNALS,
    /** Discovery that is unreachable or sends nothing, server drains near its recovery, frequent reconfigurations. */
    DISCOVERY,
    /** Misbehaving clients, early cancellations, duplicate set-ups, fragmented messages. */
    CLIENTS,
    /** Servers that reset connections, hang, disappear and send malformed answers. */
    NETWORK,
    /** Servers that vanish together and return, while discovery is slow, unreachable or moves. */
    LOST_SERVERS,
    /** Nodes that stand still for up to 2 s while servers drain, are replaced or never answer. */
    PAUSES,
    /** Faults of all other kinds. */
    MIXED
}
