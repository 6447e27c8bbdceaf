package spanrill.wire.platform;

/** Message types with their codes on the wire. */
public enum MessageType {
    /** Sets up a session; carries the viewer's description. */
    SET_UP(1),
    /** Progress of a set-up; carries no information and is ignored. */
    PROGRESS(6),
    /** The session is established; carries the server's description. */
    ANSWER(9),
    /** Refusal, cancellation or end, distinguished by the cause and the state of the session. */
    RELEASE(12),
    /** Acknowledges a release; the session number is free afterwards. */
    RELEASE_ACKNOWLEDGED(16),
    /** A note on an established session. */
    NOTE(44),
    /** The session moves to another server: the viewer sets it up anew. */
    MOVE(51),
    /** Probe of the peer. */
    TEST(52),
    /** Result of a probe. */
    TEST_RESULT(53),
    /** A new rung for an established session. */
    RUNG(60),
    /** A correctly framed message of an unknown type. */
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

    /** Returns the code on the wire, or -1 for {@link #UNKNOWN}. */
    public int code() {
        return code;
    }

    /** Returns the type of a code, or {@link #UNKNOWN}. */
    public static MessageType of(int code) {
        MessageType type = BY_CODE[code & 0xff];
        return type == null ? UNKNOWN : type;
    }
}
