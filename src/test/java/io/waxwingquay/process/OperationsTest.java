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

/** What an operator sees of a running deployment. */
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
    void metricsAndTheirPageAgree() throws Exception {
        assertEquals(200, complete("metrics"));
        Set<String> documented = names(DOCUMENTED, Files.readString(Path.of("docs", "METRICS.md")));
        Set<String> scraped = new TreeSet<>();
        for (int port : adminPorts()) {
            scraped.addAll(names(SCRAPED, get(port, "/metrics")));
        }
        Set<String> ours = scraped.stream()
                .filter(name -> name.startsWith("waxwingquay_"))
                .collect(Collectors.toCollection(TreeSet::new));
        Set<String> undocumented = new TreeSet<>(ours);
        undocumented.removeAll(documented);
        assertEquals(Set.of(), undocumented, "seen but not in the page");
        documented.removeAll(scraped);
        assertEquals(Set.of(), documented, "in the page but not seen");
    }

    @Test
    void dumpOfAnEntryShowsWhatIsInFlightAndWhatItKnows() throws Exception {
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
    void dumpOfASideShowsLedgerAttemptsPermitsAndPlan() throws Exception {
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

    // Someone on call has a caller's request identity and nothing else. The same identity has to lead through the
    // lines of entry, side and target, and a refusal has to be there without a change of the log level.
    @Test
    void oneRequestIdentityLeadsThroughEveryPart() throws Exception {
        Logger logger = (Logger) LoggerFactory.getLogger("waxwingquay");
        Level before = logger.getLevel();
        Lines lines = new Lines();
        lines.start();
        logger.setLevel(Level.DEBUG);
        logger.addAppender(lines);
        try {
            assertEquals(200, pay("followed"));
            assertEquals(404, post("/v1/services/nowhere/pay", "refused", "{}"));
            Await.until(() -> lines.starting("side: ", "followed").anyMatch(line -> line.contains("DONE, RAN")));
            Await.until(() -> lines.starting("entry: ", "followed").anyMatch(line -> line.contains("was answered")));
            assertTrue(lines.starting("entry: ", "followed").anyMatch(line -> line.contains("goes to side booking-0")));
            assertTrue(lines.starting("standin: ", "followed").findAny().isPresent());
            assertTrue(lines.starting("entry: ", "refused")
                    .anyMatch(line -> line.contains("INFO") && line.contains("unknown_service, DID_NOT_RUN")));
        } finally {
            logger.detachAppender(lines);
            logger.setLevel(before);
        }
    }

    @Test
    void everyLogLineBeginsWithItsPart() throws Exception {
        int seen = 0;
        try (Stream<Path> files = Files.walk(Path.of("src", "main", "java"))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java"))
                    .filter(path -> !path.toString().contains("generated"))
                    .toList()) {
                String text = Files.readString(file);
                String part = file.getParent().getFileName().toString();
                for (String name : names(LOGGERS, text)) {
                    assertEquals("waxwingquay." + part, name, file.toString());
                }
                for (String line : names(LOGGED, text)) {
                    assertTrue(line.startsWith(part + ": "), file + ": " + line);
                    seen++;
                }
            }
        }
        assertTrue(seen > 30, "only " + seen + " lines were found");
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
        assertFalse(text.toLowerCase(java.util.Locale.ROOT).contains("private"), "a secret is in the dump");
        JsonNode whole = Json.MAPPER.readTree(text);
        assertEquals(0, whole.get("truncated").size());
        return whole.get("sections");
    }

    private static long doneAttempts(int port) {
        try {
            return dump(port).get("side").get("attempts").path("DONE").asLong();
        } catch (Exception failure) {
            throw new IllegalStateException("no dump", failure);
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

    private static Set<String> names(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        Set<String> names = new TreeSet<>();
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
        return names;
    }

    /** Keeps what is logged. */
    private static final class Lines extends AppenderBase<ILoggingEvent> {

        private final List<ILoggingEvent> events = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent event) {
            events.add(event);
        }

        private Stream<String> starting(String prefix, String requestId) {
            return IntStream.range(0, events.size())
                    .mapToObj(events::get)
                    .filter(event -> event.getFormattedMessage().startsWith(prefix))
                    .filter(event -> event.getFormattedMessage().contains("request " + requestId + " "))
                    .map(event -> event.getLevel() + " " + event.getFormattedMessage());
        }
    }
}
