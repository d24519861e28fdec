package io.waxwingquay.command;

import io.waxwingquay.chart.ChartException;
import io.waxwingquay.process.ShippedCharts;
import io.waxwingquay.settings.SettingsException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;

/**
 * What the commands of the long-running roles share: reading settings, and leaving gracefully on a signal.
 */
final class RoleRunner {

    private RoleRunner() {}

    /**
     * Reads settings and runs a role until its process is told to stop.
     *
     * @param <S> the settings.
     * @param file the settings file.
     * @param errors where a refusal is told.
     * @param reader reads the settings.
     * @param starter starts the role and returns what drains it.
     * @return the exit code.
     * @throws InterruptedException if the wait is interrupted.
     */
    static <S> int run(Path file, PrintWriter errors, SettingsReader<S> reader, RoleStarter<S> starter)
            throws InterruptedException, ExecutionException {
        S settings;
        try {
            settings = reader.read(file);
        } catch (SettingsException invalid) {
            errors.println(invalid.getMessage());
            return ExitCodes.REFUSED;
        } catch (IOException failure) {
            errors.println("settings file " + file + " cannot be read: " + failure.getMessage());
            return ExitCodes.FAILED;
        }
        RunningRole running;
        try {
            ShippedCharts.validateAll();
            running = starter.start(settings);
        } catch (ChartException malformed) {
            errors.println("failed: " + malformed.getMessage());
            return ExitCodes.FAILED;
        }
        // The virtual machine exits when the hooks have ended, so a signal drains before the process goes.
        Runtime.getRuntime().addShutdownHook(new Thread(running::drainUnlessClosed, "drain"));
        // A drain that an operator asked for ends the process too; without this it would stay, deaf and idle.
        running.closed().get();
        return ExitCodes.OK;
    }

    /**
     * Reads settings.
     *
     * @param <S> the settings.
     */
    @FunctionalInterface
    interface SettingsReader<S> {

        S read(Path file) throws IOException;
    }

    /**
     * Starts a role.
     *
     * @param <S> the settings.
     */
    @FunctionalInterface
    interface RoleStarter<S> {

        RunningRole start(S settings);
    }

    /**
     * A role that runs.
     *
     * @param drain starts a graceful shutdown.
     * @param closed completes when it has closed.
     */
    record RunningRole(Supplier<CompletableFuture<?>> drain, CompletableFuture<Void> closed) {

        void drainUnlessClosed() {
            if (!closed.isDone()) {
                drain.get().join();
            }
        }
    }
}
