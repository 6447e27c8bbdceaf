package spanrill.front;

import java.util.ArrayList;
import java.util.List;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import spanrill.session.EventSink;

/**
 * Structured logs: one line an event, with the event's name and its fields (docs/operators.md lists
 * them).
 */
public final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("spanrill.front");

    private static final EventSink SINK = new EventSink() {
        @Override
        public void info(String event, Object... fields) {
            EventLog.info(event, fields);
        }

        @Override
        public void error(String event, Throwable cause, Object... fields) {
            EventLog.error(event, cause, fields);
        }
    };

    private EventLog() {}

    /** The log as the core writes to it. */
    public static EventSink sink() {
        return SINK;
    }

    /** A thing that operators want to see. */
    public static void info(String event, Object... fields) {
        if (LOG.isInfoEnabled()) {
            LOG.info(event, arguments(null, fields));
        }
    }

    /** Something is wrong outside this program. */
    public static void warn(String event, Object... fields) {
        LOG.warn(event, arguments(null, fields));
    }

    /** A fault of this program. */
    public static void error(String event, Throwable cause, Object... fields) {
        LOG.error(event, arguments(cause, fields));
    }

    /** The event's name is the message, which the encoder writes as "event"; the rest are its fields. */
    private static Object[] arguments(Throwable cause, Object... fields) {
        List<Object> arguments = new ArrayList<>(fields.length / 2 + 1);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            arguments.add(StructuredArguments.keyValue((String) fields[i], fields[i + 1]));
        }
        if (cause != null) {
            arguments.add(cause);
        }
        return arguments.toArray();
    }
}
