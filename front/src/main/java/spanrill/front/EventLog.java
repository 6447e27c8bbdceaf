package spanrill.front;

import java.util.ArrayList;
import java.util.List;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import spanrill.session.EventSink;

/** Structured log: one line per event, with the name and the fields of the event (listed in docs/operators.md). */
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

    /** Returns the event sink through which the session core writes to this log. */
    public static EventSink sink() {
        return SINK;
    }

    /** Logs an event of normal operation. */
    public static void info(String event, Object... fields) {
        if (LOG.isInfoEnabled()) {
            LOG.info(event, arguments(null, fields));
        }
    }

    /** Logs a problem outside this program. */
    public static void warn(String event, Object... fields) {
        LOG.warn(event, arguments(null, fields));
    }

    /** Logs a fault of this program. */
    public static void error(String event, Throwable cause, Object... fields) {
        LOG.error(event, arguments(cause, fields));
    }

    /** Returns the log arguments. The event name is the log message, which the encoder writes as "event". */
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
