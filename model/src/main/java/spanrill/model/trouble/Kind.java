package spanrill.model.trouble;

/** The sorts of trouble, by the names of the day files. */
public enum Kind {
    /** Boxes die and come back cold. */
    CRASH,
    /** Boxes go silent: no reset, no answer; then they are started anew. */
    VANISH,
    /** Boxes work slowly. */
    SLOW,
    /** Uplinks of racks give half. */
    SHARED_SLOW,
    /** Another program takes links: boxes keep a quarter to two thirds. */
    NEIGHBOUR,
    /** Notes come much later. */
    REPORT_LATE,
    /** A hall is cut off from the others. */
    ZONE_CUT,
    /** Set-ups run, but their answers are lost. */
    ANSWER_LOST,
    /** Fronts die and come back with their kept list only. */
    BALANCER_CRASH,
    /** Fronts stand still. */
    BALANCER_STALL,
    /** Boxes are replaced one after the other: drained, gone, new and cold. */
    DEPLOY,
    /** More viewers. */
    BURST,
    /** More viewers for one title, from one moment on. */
    HOT_KEY,
    /** Boxes are told to go with little notice. */
    PREEMPT,
    /** Boxes grow slower until they are started anew. */
    AGEING
}
