package io.waxwingquay.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.common.Json;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import java.io.ByteArrayOutputStream;
import java.io.FilterOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.text.MessageFormat;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoggingTest {

    private final LoggerContext context = new LoggerContext();
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @BeforeEach
    void prepare() {
        context.setMDCAdapter(new LogbackMDCAdapter());
    }

    @Test
    void writesOneLineOfText() {
        Logging.configure(context, LogFormat.TEXT, LogLevel.INFO, written);
        context.getLogger("waxwingquay.side").debug("side: below the level");
        context.getLogger("waxwingquay.side").info("side: serving");
        context.getLogger("org.eclipse.jetty").info("a library's message");
        assertTrue(text().matches("\\S+Z INFO  side: serving\\R"), text());
    }

    // Operators search and sort log lines by the time that a request took, which fails with "took_ms=1,531".
    @Test
    void formatsNumbersWithoutGroupingSeparators() {
        Logging.configure(context, LogFormat.TEXT, LogLevel.INFO, written);
        assertEquals("took_ms=1531204", MessageFormat.format("took_ms={0}", 1_531_204L));
    }

    @Test
    void keepsWritingAfterReconfiguration() {
        // The command line configures logging, and the settings with log_level = "info" configure it again. If the
        // reset in between closed the standard error stream, the process would log nothing.
        PrintStream console = new PrintStream(written, true, StandardCharsets.UTF_8);
        Logging.configure(context, LogFormat.TEXT, LogLevel.WARN, console);
        Logging.configure(context, LogFormat.TEXT, LogLevel.INFO, console);
        context.getLogger("waxwingquay.side").info("side: serving");
        assertTrue(text().contains("side: serving"), text());
    }

    @Test
    void writesOneJsonObjectForEachEvent() throws Exception {
        Logging.configure(context, LogFormat.JSON, LogLevel.DEBUG, written);
        context.getLogger("waxwingquay.side").debug("side: {} waits", 3);
        JsonNode line = Json.MAPPER.readTree(text());
        assertEquals("side: 3 waits", line.get("formattedMessage").asText());
        assertEquals("DEBUG", line.get("level").asText());
        assertEquals("waxwingquay.side", line.get("loggerName").asText());
    }

    // A role configures logging a second time, from its settings. If the end of the first configuration closed the
    // stream, the process would run on without logging, and the operator would not learn of any failure.
    @Test
    void reconfigurationDoesNotCloseTheStream() {
        AtomicBoolean closed = new AtomicBoolean();
        OutputStream target = new FilterOutputStream(written) {
            @Override
            public void close() {
                closed.set(true);
            }
        };
        Logging.configure(context, LogFormat.TEXT, LogLevel.WARN, target);
        Logging.configure(context, LogFormat.TEXT, LogLevel.INFO, target);
        context.getLogger("waxwingquay.side").info("side: serving.");
        assertFalse(closed.get());
        assertTrue(text().contains("side: serving."), text());
    }

    private String text() {
        return written.toString(StandardCharsets.UTF_8);
    }
}
