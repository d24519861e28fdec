package io.waxwingquay.command;

import io.waxwingquay.hosted.HostSettings;
import io.waxwingquay.hosted.HostedEntry;
import io.waxwingquay.hosted.HostedProcess;
import io.waxwingquay.hosted.HostedSide;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.observe.Logging;
import io.waxwingquay.platform.SettingsFile;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import io.waxwingquay.settings.SettingsException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.function.BiFunction;
import sun.misc.Signal;

/** A role that a process can run on the prepared platform. */
enum HostedRole {
    /** Accepts callers' requests. */
    ENTRY(HostedEntry::start),
    /** Manages the engine beside it. */
    SIDE(HostedSide::start);

    private static final System.Logger LOG = System.getLogger("waxwingquay.command");

    private final BiFunction<EventLoop, HostSettings, HostedProcess> starter;

    HostedRole(BiFunction<EventLoop, HostSettings, HostedProcess> starter) {
        this.starter = starter;
    }

    /** Returns the settings file that the platform names in the environment, or {@code local.toml} if it names none. */
    static Path defaultSettingsFile() {
        return Path.of(System.getenv().getOrDefault(SettingsFile.VARIABLE, "local.toml"));
    }

    /**
     * Runs the role until SIGTERM.
     *
     * @param file the settings file.
     * @param level the minimum log level.
     * @param errors receives the reason if the role can't run.
     * @return the exit code.
     */
    int run(Path file, LogLevel level, PrintWriter errors) throws InterruptedException {
        Logging.configureStandardOutput(LogFormat.TEXT, level);
        HostSettings settings;
        try {
            settings = SettingsFile.read(file);
        } catch (SettingsException invalid) {
            errors.println(invalid.getMessage());
            return ExitCodes.REFUSED;
        } catch (IOException failure) {
            errors.println("settings file " + file + " cannot be read: " + failure.getMessage());
            return ExitCodes.FAILED;
        }
        Optional<HostedProcess> started = start(settings, errors);
        if (started.isEmpty()) {
            return ExitCodes.FAILED;
        }
        CountDownLatch closed = new CountDownLatch(1);
        handleSignals(started.get(), closed);
        closed.await();
        Logging.flush();
        return ExitCodes.OK;
    }

    /**
     * Shuts the process down on SIGTERM and ignores SIGHUP.
     *
     * @param process the process.
     * @param closed counted down once the process has shut down.
     */
    static void handleSignals(HostedProcess process, CountDownLatch closed) {
        Signal.handle(new Signal("TERM"), signal -> process.shutdown().thenRun(closed::countDown));
        // Without a handler the JVM would exit on SIGHUP. The settings in use do not change during the life of a VM.
        Signal.handle(
                new Signal("HUP"),
                signal -> LOG.log(
                        System.Logger.Level.INFO,
                        "command: ignored SIGHUP, as no changed setting applies to a running process"));
    }

    /**
     * Starts the process.
     *
     * @param settings the settings.
     * @param errors receives the reason if the process can't start.
     * @return the process; empty if it can't start, in which case nothing of it keeps running.
     */
    Optional<HostedProcess> start(HostSettings settings, PrintWriter errors) {
        try {
            return Optional.of(launch(settings).join());
        } catch (CompletionException failure) {
            errors.println("the role cannot start: " + failure.getCause().getMessage());
            LOG.log(System.Logger.Level.DEBUG, "command: the role cannot start.", failure);
            return Optional.empty();
        }
    }

    /**
     * Launches the process. All of its parts are assembled on its event loop, so that two threads never read and load
     * classes concurrently.
     *
     * @param settings the settings.
     * @return the process; if it can't start, the future fails with the cause and nothing of it keeps running.
     */
    CompletableFuture<HostedProcess> launch(HostSettings settings) {
        EventLoop loop = EventLoop.start("loop");
        CompletableFuture<HostedProcess> launched = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                launched.complete(starter.apply(loop, settings));
            } catch (RuntimeException failure) {
                launched.completeExceptionally(failure);
            }
        });
        return launched.exceptionallyAsync(failure -> {
            loop.close();
            throw new CompletionException(failure);
        });
    }
}
