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
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.BiFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sun.misc.Signal;

/**
 * Runs one role on the prepared platform, until SIGTERM.
 */
@Command(
        name = "hosted",
        description = "Runs a role on the prepared platform, by the settings file that it writes.",
        mixinStandardHelpOptions = true)
final class HostedCommand implements Callable<Integer> {

    private static final System.Logger LOG = System.getLogger("waxwingquay.command");

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", description = "The role: ${COMPLETION-CANDIDATES}.")
    private Role role;

    @Option(names = "--settings", description = "The settings file; else the variable WAXWINGQUAY_CONFIG names it.")
    private Path file;

    @Option(names = "--log", description = "The lowest level that is logged: ${COMPLETION-CANDIDATES}.")
    private LogLevel level = LogLevel.INFO;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException {
        Logging.toStandardOutput(LogFormat.TEXT, level);
        HostSettings settings;
        try {
            settings = SettingsFile.read(path());
        } catch (SettingsException refused) {
            spec.commandLine().getErr().println(refused.getMessage());
            return ExitCodes.REFUSED;
        } catch (IOException failure) {
            spec.commandLine().getErr().println("settings file " + path() + " cannot be read: " + failure.getMessage());
            return ExitCodes.FAILED;
        }
        HostedProcess process = start(settings);
        CountDownLatch left = new CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> process.leave().thenRun(left::countDown));
        // The settings that this program uses do not change while a VM lives; the virtual machine would exit on HUP.
        Signal.handle(
                new Signal("HUP"),
                signal -> LOG.log(
                        System.Logger.Level.INFO,
                        "command: told of changed settings, none of which apply to a running process"));
        left.await();
        Logging.flush();
        return ExitCodes.OK;
    }

    /** All of a process is put together on its loop, so that two threads never read and load classes side by side. */
    private HostedProcess start(HostSettings settings) {
        EventLoop loop = EventLoop.start("loop");
        CompletableFuture<HostedProcess> started = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                started.complete(role.start.apply(loop, settings));
            } catch (RuntimeException failure) {
                started.completeExceptionally(failure);
            }
        });
        return started.join();
    }

    private Path path() {
        return file != null ? file : Path.of(System.getenv().getOrDefault(SettingsFile.VARIABLE, "local.toml"));
    }

    /** The roles. */
    enum Role {
        /** Takes callers' requests. */
        ENTRY(HostedEntry::start),
        /** Looks after the engine beside it. */
        SIDE(HostedSide::start);

        private final BiFunction<EventLoop, HostSettings, HostedProcess> start;

        Role(BiFunction<EventLoop, HostSettings, HostedProcess> start) {
            this.start = start;
        }
    }
}
