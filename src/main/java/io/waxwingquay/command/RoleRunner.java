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
 * Runs the long-running roles: reads their settings, starts them, and shuts them down gracefully on a signal.
 */
final class RoleRunner {

    private RoleRunner() {}

    /**
     * Reads the settings and runs a role until its process is stopped.
     *
     * @param <S> the type of the settings.
     * @param file the settings file.
     * @param errors receives the reason if the role can't run.
     * @param reader reads the settings.
     * @param starter starts the role.
     * @return the exit code.
     * @throws InterruptedException if the thread is interrupted while the role runs.
     * @throws ExecutionException if the role fails to close.
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
        RunningRole runningRole;
        try {
            ShippedCharts.validateAll();
            runningRole = starter.start(settings);
        } catch (ChartException malformed) {
            errors.println("failed: " + malformed.getMessage());
            return ExitCodes.FAILED;
        }
        // The JVM exits after its shutdown hooks have ended, so a signal drains the role before the process exits.
        Runtime.getRuntime().addShutdownHook(new Thread(runningRole::drainUnlessClosed, "drain"));
        // A drain that an operator requested ends the process too, which would otherwise stay up without serving.
        runningRole.closed().get();
        return ExitCodes.OK;
    }

    /**
     * Reads settings.
     *
     * @param <S> the type of the settings.
     */
    @FunctionalInterface
    interface SettingsReader<S> {

        S read(Path file) throws IOException;
    }

    /**
     * Starts a role.
     *
     * @param <S> the type of the settings.
     */
    @FunctionalInterface
    interface RoleStarter<S> {

        RunningRole start(S settings);
    }

    /**
     * A running role.
     *
     * @param drain starts a graceful shutdown.
     * @param closed completes when the role has closed.
     */
    record RunningRole(Supplier<CompletableFuture<?>> drain, CompletableFuture<Void> closed) {

        void drainUnlessClosed() {
            if (!closed.isDone()) {
                drain.get().join();
            }
        }
    }
}
