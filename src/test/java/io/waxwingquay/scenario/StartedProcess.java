package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.command.Main;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Process of the jar's main class, started with the class path of the test and stopped through its process handle. */
final class StartedProcess implements AutoCloseable {

    private static final Pattern PORT_LOG_LINE = Pattern.compile("listens on port (\\d+)");
    private static final long EXIT_TIMEOUT_SECONDS = 20;

    private final Process process;
    private final Path log;

    private StartedProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    static StartedProcess start(Path log, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
        command.addAll(arguments);
        Process started = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        return new StartedProcess(started, log);
    }

    static void runToEnd(Path log, List<String> arguments) throws Exception {
        try (StartedProcess command = start(log, arguments)) {
            assertTrue(command.process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "did not exit: " + arguments);
            assertEquals(0, command.process.exitValue(), arguments + "\n" + command.logText());
        }
    }

    /** Waits for the port that a stand-in started with port 0 writes to its log. */
    int awaitPort() throws Exception {
        List<Integer> found = Collections.synchronizedList(new ArrayList<>());
        Await.until(() -> {
            assertTrue(isAlive(), logText());
            Matcher matcher = PORT_LOG_LINE.matcher(logText());
            if (matcher.find()) {
                found.add(Integer.valueOf(matcher.group(1)));
            }
            return !found.isEmpty();
        });
        return found.get(0);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String logText() throws IOException {
        return Files.readString(log);
    }

    /** Kills the process with SIGKILL, as when its machine loses power. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "a killed process did not exit");
    }

    void pause() throws Exception {
        signal("-STOP");
    }

    void resume() throws Exception {
        signal("-CONT");
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void signal(String name) throws Exception {
        Process killCommand = new ProcessBuilder("kill", name, Long.toString(process.pid())).start();
        assertTrue(killCommand.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "the kill command did not exit");
        assertEquals(0, killCommand.exitValue());
    }
}
