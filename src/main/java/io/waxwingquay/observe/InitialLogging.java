package io.waxwingquay.observe;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;

/**
 * Configures logging until {@link Logging} does so with the settings of the process: warnings go to standard error. The
 * logging library finds this class by its service file. Its own default looks for configuration files first, which
 * lengthens each start, and then logs everything.
 */
public final class InitialLogging extends ContextAwareBase implements Configurator {

    /** Creates the configurator; called by the logging library. */
    public InitialLogging() {}

    /** {@inheritDoc} */
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        Logging.configure(context, LogFormat.TEXT, LogLevel.WARN, System.err);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
