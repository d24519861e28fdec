package io.waxwingquay.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.waxwingquay.bundle.FakePlatform;
import io.waxwingquay.observe.AdminServer;
import io.waxwingquay.observe.StateDump;
import io.waxwingquay.store.ObjectStore;
import io.waxwingquay.store.TableService;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class MainTest {

    private static final String PLATFORM = "--platform=http://127.0.0.1:7000";

    private final FakePlatform platform = new FakePlatform();
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @TempDir
    private Path directory;

    @Test
    void signsSubmitsAndReportsBundle() throws IOException {
        String file = bundle(1);
        String key = key("operator");
        assertEquals(ExitCodes.OK, run("bundle", "check", file));
        assertEquals(ExitCodes.OK, run("bundle", "sign", "--key", key, file));
        assertEquals(ExitCodes.OK, run("bundle", "submit", PLATFORM, "--trusted-key", key + ".pub", file));
        assertEquals(ExitCodes.OK, run("bundle", "status", PLATFORM));
        assertTrue(out.toString().contains("version 1\nhash "), out.toString());
    }

    @Test
    void checkReportsLineAndCorrection() throws IOException {
        Path file = Files.writeString(directory.resolve("bad.toml"), "version = 0\nservice = 1\n");
        assertEquals(ExitCodes.REFUSED, run("bundle", "check", file.toString()));
        assertTrue(err.toString().contains("line 1: version: is 0, which is not allowed; write 1 to"), err.toString());
        assertTrue(err.toString().contains("line 2: service: is no known key; did you mean services?"), err.toString());
    }

    // Guards against private keys that other users of the machine can read and sign bundles with unnoticed. Such a
    // file is refused before use, and the message gives the command that corrects its permissions.
    @Test
    void refusesKeyReadableByOthers() throws IOException {
        String key = key("operator");
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(Path.of(key))));
        Files.setPosixFilePermissions(Path.of(key), PosixFilePermissions.fromString("rw-r-----"));
        assertEquals(ExitCodes.FAILED, run("bundle", "sign", "--key", key, bundle(1)));
        assertTrue(err.toString().contains("chmod 600"), err.toString());
        assertEquals(ExitCodes.FAILED, run("bundle", "keygen", key), "an existing key must not be replaced");
    }

    // Guards against scripts that mistake an unknown outcome of a submission for a failed one: each has its exit code.
    @Test
    void exitCodesDistinguishRefusedUnknownAndFailed() throws IOException {
        String file = bundle(1);
        String key = key("operator");
        run("bundle", "sign", "--key", key, file);
        String stranger = key("stranger");
        assertEquals(ExitCodes.REFUSED, run("bundle", "submit", PLATFORM, "--trusted-key", stranger + ".pub", file));
        platform.dropCommits(100);
        assertEquals(ExitCodes.UNKNOWN_OUTCOME, run("bundle", "submit", PLATFORM, "--trusted-key", key + ".pub", file));
        platform.startOutage();
        assertEquals(ExitCodes.FAILED, run("bundle", "submit", PLATFORM, "--trusted-key", key + ".pub", file));
        assertEquals(ExitCodes.FAILED, run("bundle", "status", PLATFORM));
        assertEquals(ExitCodes.USAGE, run("bundle", "submit", file));
        assertEquals(ExitCodes.USAGE, run("bundle"));
    }

    @Test
    void dumpPrintsProcessState() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        StateDump dump = new StateDump().section("bundle", () -> "version 7");
        try (AdminServer server = AdminServer.builder(registry, dump).start()) {
            assertEquals(ExitCodes.OK, run("dump", "--address", "127.0.0.1:" + server.port()));
            assertTrue(out.toString().contains("\"bundle\" : \"version 7\""), out.toString());
        }
        assertEquals(ExitCodes.USAGE, run("dump", "--address", "nowhere"));
    }

    @Test
    void helpListsExitCodesAndCompletionNamesEveryCommand() {
        assertEquals(ExitCodes.OK, run("bundle", "submit", "--help"));
        assertTrue(out.toString().contains("4   unknown whether it took effect"), out.toString());
        assertEquals(ExitCodes.OK, run("completion"));
        assertTrue(out.toString().contains("_picocli_waxwingquay_bundle_submit"));
    }

    @Test
    void everyCommandHasHelpWithExitCodes() {
        assertHelp(Main.commandLine(url -> new FakePlatformClients()), List.of());
    }

    // Guards against a process that starts despite an invalid setting and runs with a default that nobody chose. The
    // start is refused with one message for each key, and with the exit code for refused rather than for failed.
    @Test
    void everyRoleRefusesInvalidSettings() throws IOException {
        String entry = Files.readString(Path.of("docs", "settings", "entry.toml"))
                .replace("routing_policy = \"waxwingquay\"", "routing_policy = \"fastest\"");
        assertEquals(ExitCodes.REFUSED, run("entry", "--settings", settings("entry", entry + "\ncallr_port = 1\n")));
        assertTrue(err.toString().contains("routing_policy: is 'fastest'; write one of waxwingquay"), err.toString());
        assertTrue(err.toString().contains("callr_port: is no known key; did you mean caller_port?"), err.toString());
        String side = Files.readString(Path.of("docs", "settings", "side.toml"))
                .replace("queue_limit = 256", "queue_limit = -1");
        assertEquals(ExitCodes.REFUSED, run("side", "--settings", settings("side", side)));
        assertTrue(err.toString().contains("queue_limit: is -1, which is not allowed; write 0 to"), err.toString());
        assertEquals(ExitCodes.FAILED, run("side", "--settings", "nowhere.toml"));
        assertEquals(ExitCodes.USAGE, run("side"));
    }

    @Test
    void benchReportsMissingBundleFile() {
        String folder = directory.toString();
        int exitCode = run(
                "bench",
                "run",
                "--workload=tamworth",
                "--policy=waxwingquay",
                "--bundles=" + folder,
                "--out=" + folder);
        assertEquals(ExitCodes.USAGE, exitCode);
        assertTrue(err.toString().contains("tamworth.toml of workload tamworth is not there"), err.toString());
    }

    private void assertHelp(CommandLine command, List<String> path) {
        command.getSubcommands().forEach((name, subcommand) -> {
            List<String> subcommandPath = new ArrayList<>(path);
            subcommandPath.add(name);
            assertHelp(subcommand, subcommandPath);
        });
        List<String> arguments = new ArrayList<>(path);
        arguments.add("--help");
        out.getBuffer().setLength(0);
        assertEquals(ExitCodes.OK, run(arguments.toArray(String[]::new)), path.toString());
        assertTrue(out.toString().contains("Exit codes:"), path.toString());
        assertTrue(command.getCommandSpec().usageMessage().description().length > 0, path.toString());
    }

    private String settings(String role, String text) throws IOException {
        return Files.writeString(directory.resolve(role + ".toml"), text).toString();
    }

    private String bundle(long version) throws IOException {
        String text = "version = " + version + "\n[[services]]\nname = \"records\"\nkind = \"plain\"\n"
                + "replicas = 3\nmax_concurrent = 8\n";
        return Files.writeString(directory.resolve("bundle-" + version + ".toml"), text)
                .toString();
    }

    private String key(String name) {
        String file = directory.resolve(name).toString();
        assertEquals(ExitCodes.OK, run("bundle", "keygen", file));
        return file;
    }

    private int run(String... arguments) {
        CommandLine commandLine = Main.commandLine(url -> new FakePlatformClients());
        commandLine.setOut(new PrintWriter(out, true));
        commandLine.setErr(new PrintWriter(err, true));
        return commandLine.execute(arguments);
    }

    private final class FakePlatformClients implements PlatformFactory.Platform {
        @Override
        public TableService table() {
            return platform;
        }

        @Override
        public ObjectStore objects() {
            return platform;
        }

        @Override
        public void close() {}
    }
}
