package spanrill.wire.platform;

/** Types of message, each with its code on the wire. */
public enum MessageType {
    /** Sets a session up; with a description. */
    SET_UP(1),
    /** Progress of a set-up; means nothing. */
    PROGRESS(6),
    /** The session stands; with the server's description. */
    ANSWER(9),
    /** Refusal, give-up or end, told apart by the cause and the state of the session. */
    RELEASE(12),
    /** A release was heard; free. */
    RELEASE_ACKNOWLEDGED(16),
    /** A note on a session that stands. */
    NOTE(44),
    /** The session moves: its viewer comes again. */
    MOVE(51),
    /** A test of the peer. */
    TEST(52),
    /** What the test came to. */
    TEST_RESULT(53),
    /** A new rung of a session that stands. */
    RUNG(60),
    /** Well framed, of a type that is not known here. */
    UNKNOWN(-1);

    private static final MessageType[] BY_CODE = new MessageType[256];

    static {
        for (MessageType type : values()) {
            if (type.code >= 0) {
                BY_CODE[type.code] = type;
            }
        }
    }

    private final int code;

    MessageType(int code) {
        this.code = code;
    }

    /** Its code on the wire. */
    public int code() {
        return code;
    }

    /** The type of a code, {@link #UNKNOWN} where there is none. */
    public static MessageType of(int code) {
        MessageType type = BY_CODE[code & 0xff];
        return type == null ? UNKNOWN : type;
    }
}
