package io.waxwingquay.command;

import io.waxwingquay.chart.ChartException;
import io.waxwingquay.process.ShippedCharts;
import io.waxwingquay.settings.SettingsException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

/**
 * What the commands of the long-running roles share: reading settings, and leaving gracefully on a signal.
 */
final class Roles {

    private Roles() {}

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
    static <S> int run(Path file, PrintWriter errors, Reader<S> reader, Starter<S> starter)
            throws InterruptedException {
        S settings;
        try {
            settings = reader.read(file);
        } catch (SettingsException refused) {
            errors.println(refused.getMessage());
            return ExitCodes.REFUSED;
        } catch (IOException failure) {
            errors.println("settings file " + file + " cannot be read: " + failure.getMessage());
            return ExitCodes.FAILED;
        }
        Drain drain;
        try {
            ShippedCharts.check();
            drain = starter.start(settings);
        } catch (ChartException faulty) {
            errors.println("failed: " + faulty.getMessage());
            return ExitCodes.FAILED;
        }
        // The virtual machine exits when the hooks have ended, so a signal drains before the process goes.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain.now().join(), "drain"));
        new CountDownLatch(1).await();
        return ExitCodes.OK;
    }

    /**
     * Reads settings.
     *
     * @param <S> the settings.
     */
    @FunctionalInterface
    interface Reader<S> {

        S read(Path file) throws IOException;
    }

    /**
     * Starts a role.
     *
     * @param <S> the settings.
     */
    @FunctionalInterface
    interface Starter<S> {

        Drain start(S settings);
    }

    /** Starts a graceful shutdown. */
    @FunctionalInterface
    interface Drain {

        CompletableFuture<?> now();
    }
}
