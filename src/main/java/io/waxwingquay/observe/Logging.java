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
 * Configures logging to standard error or standard output. The packages of this project log through
 * {@link System.Logger} under {@code waxwingquay.<package>}; libraries log from {@code WARN} up.
 */
public final class Logging {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} %-5level %msg%n";
    private static final String PROJECT_LOGGER = "waxwingquay";

    /**
     * Formats numbers without grouping separators, so that a field such as {@code took_ms=1531} can be searched and
     * sorted.
     */
    private static final Locale UNGROUPED_NUMBERS = new Locale("en", "US", "POSIX");

    private static volatile NonBlockingOutputStream output;

    private Logging() {}

    /**
     * Configures this process to log to standard error, in place of any earlier configuration.
     *
     * @param format the format of log lines.
     * @param level the lowest level of this project's packages that is logged.
     */
    public static void configure(LogFormat format, LogLevel level) {
        configure((LoggerContext) LoggerFactory.getILoggerFactory(), format, level, System.err);
    }

    /**
     * Configures this process to log to standard output without blocking the logging threads, in place of any earlier
     * configuration.
     *
     * @param format the format of log lines.
     * @param level the lowest level of this project's packages that is logged.
     */
    public static void configureStandardOutput(LogFormat format, LogLevel level) {
        output = new NonBlockingOutputStream(System.out);
        configure((LoggerContext) LoggerFactory.getILoggerFactory(), format, level, output);
    }

    /** Writes the lines that are still buffered for standard output, see {@link #configureStandardOutput}. */
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
     * Passes on all calls except {@link #close}, which only flushes.
     *
     * <p>A role configures logging again after {@code Main} did, and the reset closes the appender's stream. If that
     * closed standard error, the process would log nothing more. The stream belongs to the process and ends with it, so
     * it need not be closed.
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
