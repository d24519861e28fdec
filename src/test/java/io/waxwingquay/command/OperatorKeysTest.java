package io.waxwingquay.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.bench.SettingsText;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.Json;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.settings.EntrySettings;
import io.waxwingquay.standin.PlatformStandin;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests operator keys from the command line, against a platform over HTTP and a running process. */
class OperatorKeysTest {

    private static final long EXIT_TIMEOUT_SECONDS = 60;
    private static final String LOOPBACK = "127.0.0.1";
    private static final List<Integer> ANY_PORTS = List.of(0, 0, 0);

    private final PlatformStandin platform = PlatformStandin.builder().start();
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @TempDir
    private Path directory;

    @AfterEach
    void close() {
        platform.close();
    }

    // Guards against a leaked key that can still change the system after a bundle has replaced it: at the command line,
    // or in a running process whose settings still name it as the root, even if a bundle lists it by mistake.
    @Test
    void refusesRevokedKeyAfterRotation() throws Exception {
        String first = key("first");
        String firstId = quotedValue(out, "id = ");
        String firstTrusted = trustedKeyTable();
        out.getBuffer().setLength(0);
        String second = key("second");
        String keys = "[keys]\nrevoked = [\"" + firstId + "\"]\n" + firstTrusted + trustedKeyTable();
        assertEquals(ExitCodes.OK, submit(first, bundle(1, "")));
        try (EntryProcess entry = entry(first)) {
            Await.until(() -> entry.bundleVersion() == 1L);
            assertEquals(ExitCodes.OK, submit(first, bundle(2, keys)));
            Await.until(() -> entry.bundleVersion() == 2L);
            assertEquals(ExitCodes.REFUSED, submit(first, bundle(3, "")));
            assertTrue(err.toString().contains("refused: "), err.toString());
            assertTrue(err.toString().contains("key " + firstId + " is revoked"), err.toString());
            assertEquals(ExitCodes.OK, submit(first, second, bundle(3, "")));
            Await.until(() -> entry.bundleVersion() == 3L);
        }
        out.getBuffer().setLength(0);
        assertEquals(ExitCodes.OK, run("bundle", "status", platformOption()));
        assertTrue(out.toString().startsWith("version 3\nhash "), out.toString());
    }

    @Test
    void usesConfiguredLogFormatAndExitsAfterDrain() throws Exception {
        String first = key("first");
        assertEquals(ExitCodes.OK, submit(first, bundle(1, "")));
        Path settings = Files.writeString(
                directory.resolve("entry.toml"),
                settingsText(first).replace("log_level = \"warn\"", "log_level = \"debug\"\nlog_format = \"json\""));
        Path log = directory.resolve("log");
        Process process = startEntry(settings, log);
        try {
            Await.until(() -> Files.readString(log).contains("listening for callers"));
            String address = Files.readString(log).replaceAll("(?s).*listening for callers on ([0-9.:]+[0-9]).*", "$1");
            Await.until(() -> call(address, "/v1/services/nowhere/pay", "json-request") == 404);
            assertEquals(503, call(address, "/readyz", "none"));
            Await.until(() -> Files.readString(log).contains("json-request"));
            for (String line : Files.readAllLines(log)) {
                JsonNode event = Json.MAPPER.readTree(line);
                assertTrue(event.has("timestamp") && event.has("level"), line);
                assertTrue(event.has("loggerName") && event.has("formattedMessage"), line);
            }
            String admin = Files.readString(log).replaceAll("(?s).*for operators on port ([0-9]+).*", "127.0.0.1:$1");
            assertEquals(202, call(admin, "/shutdown", "none"));
            assertTrue(
                    process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    "the process did not exit after its drain");
            assertEquals(ExitCodes.OK, process.exitValue());
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static int call(String address, String path, String requestId) throws Exception {
        boolean probe = path.equals("/readyz");
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).header("X-Request-Id", requestId);
        HttpRequest httpRequest = probe
                ? request.build()
                : request.POST(HttpRequest.BodyPublishers.ofString("{}")).build();
        return HttpClient.newHttpClient()
                .send(httpRequest, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    private static Process startEntry(Path settings, Path log) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
                        "-Xmx192m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "io.waxwingquay.command.Main",
                        "entry",
                        "--settings",
                        settings.toString())
                .redirectError(log.toFile())
                .start();
    }

    private EntryProcess entry(String rootKey) throws IOException {
        byte[] text = settingsText(rootKey).getBytes(StandardCharsets.UTF_8);
        return EntryProcess.start(EntrySettings.parse("entry", text));
    }

    private String settingsText(String rootKey) throws IOException {
        String publicKey = Files.readString(Path.of(rootKey + ".pub")).strip();
        return new SettingsText(new HostPort(LOOPBACK, platform.port()), publicKey, 1, 1_000L, 0L)
                .entry(0, "waxwingquay", ANY_PORTS);
    }

    private int submit(String key, String file) {
        return submit(key, key, file);
    }

    private int submit(String rootKey, String signingKey, String file) {
        assertEquals(ExitCodes.OK, run("bundle", "sign", "--key", signingKey, file), err.toString());
        return run("bundle", "submit", platformOption(), "--trusted-key", rootKey + ".pub", file);
    }

    private String platformOption() {
        return "--platform=http://" + LOOPBACK + ":" + platform.port();
    }

    private String bundle(long version, String keys) throws IOException {
        String text = "version = " + version + "\n[[services]]\nname = \"records\"\nkind = \"plain\"\n"
                + "replicas = 3\nmax_concurrent = 8\n" + keys;
        return Files.writeString(directory.resolve("bundle-" + version + ".toml"), text)
                .toString();
    }

    private String key(String name) {
        String file = directory.resolve(name).toString();
        assertEquals(ExitCodes.OK, run("bundle", "keygen", file));
        return file;
    }

    private String trustedKeyTable() {
        return "[[keys.trusted]]\nid = \"" + quotedValue(out, "id = ") + "\"\npublic_key = \""
                + quotedValue(out, "public_key = ") + "\"\n";
    }

    private static String quotedValue(StringWriter text, String label) {
        return text.toString()
                .lines()
                .filter(line -> line.startsWith(label))
                .findFirst()
                .orElseThrow()
                .split("\"")[1];
    }

    private int run(String... arguments) {
        CommandLine commandLine = Main.commandLine(HttpPlatform::open);
        commandLine.setOut(new PrintWriter(out, true));
        commandLine.setErr(new PrintWriter(err, true));
        return commandLine.execute(arguments);
    }
}
