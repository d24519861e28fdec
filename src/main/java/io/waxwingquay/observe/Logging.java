package io.waxwingquay.observe;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sets up logging to standard error. Our parts log through {@link System.Logger} under {@code waxwingquay.<part>};
 * libraries are heard from {@code WARN} up.
 */
public final class Logging {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} %-5level %msg%n";
    private static final String PROJECT_LOGGER = "waxwingquay";

    /** Numbers without marks between thousands, so that a field such as {@code took_ms=1531} can be searched and sorted. */
    private static final Locale UNGROUPED_NUMBERS = new Locale("en", "US", "POSIX");

    private static volatile NonBlockingOutputStream output;

    private Logging() {}

    /**
     * Replaces the logging set-up of this process.
     *
     * @param format how log lines look.
     * @param level the lowest level of our own parts that is written.
     */
    public static void configure(LogFormat format, LogLevel level) {
        configure((LoggerContext) LoggerFactory.getILoggerFactory(), format, level, System.err);
    }

    /**
     * Replaces the logging set-up of this process: lines go to standard output, without ever holding up a thread.
     *
     * @param format how log lines look.
     * @param level the lowest level of our own parts that is written.
     */
    public static void configureStandardOutput(LogFormat format, LogLevel level) {
        output = new NonBlockingOutputStream(System.out);
        configure((LoggerContext) LoggerFactory.getILoggerFactory(), format, level, output);
    }

    /** Writes out what {@link #configureStandardOutput} still holds. */
    public static void flush() {
        NonBlockingOutputStream current = output;
        if (current != null) {
            current.drain();
        }
    }

    static void configure(LoggerContext context, LogFormat format, LogLevel level, OutputStream target) {
        Locale.setDefault(Locale.Category.FORMAT, UNGROUPED_NUMBERS);
        context.reset();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(format == LogFormat.JSON ? jsonEncoder(context) : textEncoder(context));
        appender.setOutputStream(new NonClosingOutputStream(target));
        appender.start();
        Level projectLevel = Level.toLevel(level.name());
        context.getLogger(PROJECT_LOGGER).setLevel(projectLevel);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(projectLevel == Level.ERROR ? Level.ERROR : Level.WARN);
        context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(appender);
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        return encoder;
    }

    /**
     * Passes everything on but the close.
     *
     * <p>Failure: a role sets logging up again after {@code Main} did, and the reset closes the appender's stream.
     * Symptom: standard error is closed and the process logs nothing, for as long as it lives. The stream belongs to
     * the process and ends with it, so it needs no close.
     */
    private static final class NonClosingOutputStream extends FilterOutputStream {

        private NonClosingOutputStream(OutputStream target) {
            super(target);
        }

        /** {@inheritDoc} */
        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            out.write(bytes, offset, length);
        }

        /** {@inheritDoc} */
        @Override
        public void close() throws IOException {
            flush();
        }
    }
}
