package spanrill.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import spanrill.front.EventLog;

/** Log lines as the program's own configuration writes them, read by a strict reader. */
class LogLinesTest {
    private static final ObjectMapper STRICT = new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private static List<JsonNode> lines(Runnable logging) throws Exception {
        LoggerContext configured = new LoggerContext();
        JoranConfigurator configurator = new JoranConfigurator();
        configurator.setContext(configured);
        configurator.doConfigure(
                Path.of("src", "main", "resources", "logback.xml").toUri().toURL());
        Encoder<ILoggingEvent> encoder =
                ((ConsoleAppender<ILoggingEvent>) configured.getLogger("ROOT").getAppender("console")).getEncoder();
        Logger logger = (Logger) LoggerFactory.getLogger("spanrill.front");
        ListAppender<ILoggingEvent> kept = new ListAppender<>();
        kept.start();
        Level before = logger.getLevel();
        logger.setLevel(Level.INFO);
        logger.setAdditive(false);
        logger.addAppender(kept);
        try {
            logging.run();
        } finally {
            logger.detachAppender(kept);
            logger.setAdditive(true);
            logger.setLevel(before);
        }
        List<JsonNode> read = new ArrayList<>();
        for (ILoggingEvent event : kept.list) {
            read.add(STRICT.readTree(encoder.encode(event)));
        }
        return read;
    }

    @Test
    void eachKeyIsThereOnce() throws Exception {
        List<JsonNode> lines = lines(() -> {
            EventLog.info("session.plays", "session", "abc", "class", "free", "ms", 12);
            EventLog.warn("list.failed", "reason", "a {} brace and a \" quote\nand a line");
            EventLog.error("core.fault", new IllegalStateException("x"), "phase", "OVER");
            EventLog.info("module", "text", "avoiding s1");
            EventLog.info("bare");
        });
        assertEquals(
                List.of("session.plays", "list.failed", "core.fault", "module", "bare"),
                lines.stream().map(line -> line.path("event").asText()).toList());
        assertEquals("free", lines.get(0).path("class").asText());
        assertEquals(12, lines.get(0).path("ms").asInt());
        assertEquals(
                "a {} brace and a \" quote\nand a line",
                lines.get(1).path("reason").asText());
        assertTrue(lines.get(2).path("stack_trace").asText().contains("IllegalStateException"));
        assertEquals("OVER", lines.get(2).path("phase").asText());
    }
}
