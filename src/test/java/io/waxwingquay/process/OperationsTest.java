package io.waxwingquay.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.bench.LocalDeployment;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.Json;
import io.waxwingquay.testing.Await;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests the metrics, state dumps and log lines that operators see of a running deployment. */
class OperationsTest {

    private static final long READY_MILLIS = 60_000;
    private static final Pattern DOCUMENTED = Pattern.compile("^\\| `([a-z_]+)` \\|", Pattern.MULTILINE);
    private static final Pattern SCRAPED = Pattern.compile("^# TYPE (\\S+) ", Pattern.MULTILINE);
    private static final Pattern LOGGERS = Pattern.compile("getLogger\\(\"([^\"]+)\"\\)");
    private static final Pattern LOGGED = Pattern.compile(
            "(?:LOG\\s*\\.log|\\.log)\\(\\s*(?:[A-Za-z.]*Level\\.[A-Z]+|[^,]*\\?[^,]*),\\s*(?:\\(\\) -> )?\"([^\"]*)\"",
            Pattern.DOTALL);

    private static final HttpClient HTTP = HttpClient.newHttpClient();
    private static LocalDeployment deployment;

    @BeforeAll
    static void start() throws Exception {
        try (InputStream document = OperationsTest.class.getResourceAsStream("/demo/bundle.toml")) {
            deployment = LocalDeployment.builder(document.readAllBytes())
                    .timeScale(0.05)
                    .start();
        }
        assertTrue(deployment.awaitServing(READY_MILLIS));
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @Test
    void exposedMetricsMatchDocumentation() throws Exception {
        assertEquals(200, complete("metrics"));
        Set<String> documented = firstGroups(DOCUMENTED, Files.readString(Path.of("docs", "METRICS.md")));
        Set<String> scraped = new TreeSet<>();
        for (int port : adminPorts()) {
            scraped.addAll(firstGroups(SCRAPED, get(port, "/metrics")));
        }
        Set<String> ownMetrics = scraped.stream()
                .filter(name -> name.startsWith("waxwingquay_"))
                .collect(Collectors.toCollection(TreeSet::new));
        Set<String> undocumented = new TreeSet<>(ownMetrics);
        undocumented.removeAll(documented);
        assertEquals(Set.of(), undocumented, "exposed but not documented");
        documented.removeAll(scraped);
        assertEquals(Set.of(), documented, "documented but not exposed");
    }

    @Test
    void entryDumpShowsRequestsAndMembership() throws Exception {
        JsonNode sections = dump(deployment.entries().get(0).adminPort());
        JsonNode entry = sections.get("entry");
        assertEquals(0, entry.get("pendingOutcomes").asInt());
        assertTrue(entry.get("retriesLeft").asDouble() > 0);
        assertTrue(entry.has("inFlight"));
        assertEquals(deployment.sides().size(), entry.get("sides").size());
        assertEquals(deployment.sides().size(), sections.get("members").size());
        assertTrue(sections.get("bundle").get("version").asLong() >= 1);
        assertTrue(sections.has("suspects"));
        assertTrue(sections.has("peers"));
    }

    @Test
    void sideDumpShowsLedgerAttemptsPermitsAndPlan() throws Exception {
        assertEquals(200, complete("dump"));
        JsonNode side = dump(deployment.sides().get("studio-0").adminPort()).get("side");
        assertEquals("SERVING", side.get("state").asText());
        assertTrue(side.get("memory").get("capacityBytes").asLong() > 0);
        assertTrue(side.get("memory").get("holdings").size() > 0);
        assertTrue(side.get("orderLoop").get("reportAgeMillis").asLong() >= 0);
        assertTrue(side.get("permits").get("WEIGHT_LOADS").has("lent"));
        assertTrue(side.get("permits").get("ADAPTER_LOADS").has("held"));
        assertTrue(side.get("placement").get("share").get("wantedItems").size() > 0);
        long attempts = deployment.sides().keySet().stream()
                .mapToLong(name -> doneAttempts(deployment.sides().get(name).adminPort()))
                .sum();
        assertTrue(attempts > 0);
    }

    // Guards against a request that cannot be traced by its identity, which may be all that someone on call has. The
    // identity must be in the lines of entry, side and target, and a refusal must be logged at the default level.
    @Test
    void requestIdAppearsInLogsOfEveryProcess() throws Exception {
        Logger logger = (Logger) LoggerFactory.getLogger("waxwingquay");
        Level previousLevel = logger.getLevel();
        CapturingAppender appender = new CapturingAppender();
        appender.start();
        logger.setLevel(Level.DEBUG);
        logger.addAppender(appender);
        try {
            assertEquals(200, pay("followed"));
            assertEquals(404, post("/v1/services/nowhere/pay", "refused", "{}"));
            Await.until(
                    () -> appender.linesOfRequest("side: ", "followed").anyMatch(line -> line.contains("DONE, RAN")));
            Await.until(() ->
                    appender.linesOfRequest("entry: ", "followed").anyMatch(line -> line.contains("was answered")));
            assertTrue(appender.linesOfRequest("entry: ", "followed")
                    .anyMatch(line -> line.contains("goes to side booking-0")));
            assertTrue(
                    appender.linesOfRequest("standin: ", "followed").findAny().isPresent());
            assertTrue(appender.linesOfRequest("entry: ", "refused")
                    .anyMatch(line -> line.contains("INFO") && line.contains("unknown_service, DID_NOT_RUN")));
        } finally {
            logger.detachAppender(appender);
            logger.setLevel(previousLevel);
        }
    }

    @Test
    void everyLogLineStartsWithItsPackageName() throws Exception {
        int checkedLines = 0;
        try (Stream<Path> files = Files.walk(Path.of("src", "main", "java"))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java"))
                    .filter(path -> !path.toString().contains("generated"))
                    .toList()) {
                String text = Files.readString(file);
                String packageName = file.getParent().getFileName().toString();
                for (String name : firstGroups(LOGGERS, text)) {
                    assertEquals("waxwingquay." + packageName, name, file.toString());
                }
                for (String line : firstGroups(LOGGED, text)) {
                    assertTrue(line.startsWith(packageName + ": "), file + ": " + line);
                    checkedLines++;
                }
            }
        }
        assertTrue(checkedLines > 30, "only " + checkedLines + " log lines were found");
    }

    private static int complete(String requestId) throws Exception {
        String body = "{\"model\":\"throwing\",\"prompt\":\"" + requestId + "\",\"max_tokens\":3,\"stream\":true}";
        return post("/v1/completions", requestId, body);
    }

    private static int pay(String requestId) throws Exception {
        return post("/v1/services/booking/pay-deposit", requestId, "{}");
    }

    private static int post(String path, String requestId, String body) throws Exception {
        HostPort entry = deployment.entries().get(0).callerAddress();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + path))
                .header("X-Request-Id", requestId)
                .header("Idempotency-Key", requestId)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HTTP.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    private static JsonNode dump(int port) throws Exception {
        String text = get(port, "/dump");
        assertFalse(text.toLowerCase(java.util.Locale.ROOT).contains("private"), "the dump contains a secret");
        JsonNode whole = Json.MAPPER.readTree(text);
        assertEquals(0, whole.get("truncated").size());
        return whole.get("sections");
    }

    private static long doneAttempts(int port) {
        try {
            return dump(port).get("side").get("attempts").path("DONE").asLong();
        } catch (Exception failure) {
            throw new IllegalStateException("the state dump cannot be read", failure);
        }
    }

    private static List<Integer> adminPorts() {
        return Stream.concat(
                        deployment.entries().stream().map(EntryProcess::adminPort),
                        deployment.sides().values().stream().map(SideProcess::adminPort))
                .toList();
    }

    private static String get(int port, String path) throws Exception {
        URI page = URI.create("http://127.0.0.1:" + port + path);
        return HTTP.send(HttpRequest.newBuilder(page).build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static Set<String> firstGroups(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        Set<String> names = new TreeSet<>();
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
        return names;
    }

    /** Captures log events. */
    private static final class CapturingAppender extends AppenderBase<ILoggingEvent> {

        private final List<ILoggingEvent> events = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent event) {
            events.add(event);
        }

        private Stream<String> linesOfRequest(String prefix, String requestId) {
            return IntStream.range(0, events.size())
                    .mapToObj(events::get)
                    .filter(event -> event.getFormattedMessage().startsWith(prefix))
                    .filter(event -> event.getFormattedMessage().contains("request " + requestId + " "))
                    .map(event -> event.getLevel() + " " + event.getFormattedMessage());
        }
    }
}
