package spanrill.front;

import java.util.ArrayList;
import java.util.List;
import net.logstash.logback.argument.StructuredArgument;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Structured logs: one line an event, with the event's name and its fields (docs/operators.md lists
 * them).
 */
public final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("spanrill.front");

    private EventLog() { }

    /** A thing that operators want to see. */
    public static void info(String event, Object... fields) {
        if (LOG.isInfoEnabled()) {
            LOG.info("{}", arguments(event, fields));
        }
    }

    /** Something is wrong outside this program. */
    public static void warn(String event, Object... fields) {
        LOG.warn("{}", arguments(event, fields));
    }

    /** A fault of this program. */
    public static void error(String event, Throwable cause, Object... fields) {
        List<Object> all = new ArrayList<>(List.of(arguments(event, fields)));
        if (cause != null) {
            all.add(cause);
        }
        LOG.error("{}", all.toArray());
    }

    private static Object[] arguments(String event, Object... fields) {
        StructuredArgument[] arguments = new StructuredArgument[1 + fields.length / 2];
        arguments[0] = StructuredArguments.value("event", event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            arguments[1 + i / 2] = StructuredArguments.keyValue((String) fields[i], fields[i + 1]);
        }
        return arguments;
    }
}
