package spanrill.model.trouble;

/** Kinds of trouble, under the names that day files use. */
public enum Kind {
    /** Box processes crash and restart cold. */
    CRASH,
    /** Boxes hang: they neither reset connections nor answer; later they are restarted. */
    VANISH,
    /** Set-ups on boxes take longer. */
    SLOW,
    /** Rack uplinks have half their capacity. */
    SHARED_SLOW,
    /** Another program uses the links of boxes: a quarter to two thirds of the capacity remains. */
    NEIGHBOUR,
    /** Notes of boxes are delayed by seconds. */
    REPORT_LATE,
    /** A hall is isolated from the others. */
    ZONE_CUT,
    /** Set-ups run, but some of their answers are lost. */
    ANSWER_LOST,
    /** Front processes crash and restart with only their stored box list. */
    BALANCER_CRASH,
    /** Front processes are paused. */
    BALANCER_STALL,
    /** Boxes are replaced one after the other: each drains, stops and is replaced by a cold one. */
    DEPLOY,
    /** More viewers arrive. */
    BURST,
    /** More viewers arrive for one title, from one moment on. */
    HOT_KEY,
    /** Boxes are preempted: they drain and stop after a short notice. */
    PREEMPT,
    /** Set-ups on boxes get slower in steps until the boxes are restarted. */
    AGEING
}
