package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.bench.Caller;
import io.waxwingquay.bench.SettingsText;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleDocument;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.common.Json;
import io.waxwingquay.store.HttpTableService;
import io.waxwingquay.testing.Await;
import io.waxwingquay.testing.FreePorts;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Deployment of separate processes on loopback: platform, weight store, two engines, a plain service, their sides,
 * and two entries.
 *
 * <p>Stand-ins bind port 0 and log the port that they got. Entries and sides are given ports that were free shortly
 * before, because a caller has to know an entry's port and these processes log only warnings.
 */
final class ProcessWorld implements AutoCloseable {

    static final String BUNDLE =
            """
            version = 1

            [[services]]
            name = "studio"
            kind = "model"
            replicas = 2
            memory_bytes = 40_000_000_000
            accelerators = 1
            orders_fenced = false
            weight_loads_at_once = 4
            weight_loads_per_second = 20.0
            adapter_loads_at_once = 6
            max_concurrent = 16

            [[services]]
            name = "booking"
            kind = "plain"
            replicas = 1
            max_concurrent = 16

            [[models]]
            name = "throwing"
            service = "studio"
            version = "1"
            size_bytes = 14_000_000_000
            priority = 50

            [[models]]
            name = "glazing"
            service = "studio"
            version = "1"
            size_bytes = 14_000_000_000
            priority = 60

            [[operations]]
            service = "booking"
            name = "pay-deposit"
            non_idempotent = true
            """;
    private static final String LOOPBACK = "127.0.0.1";
    private static final int ENTRIES = 2;

    /** One port each for the other roles, for administration and for callers. */
    private static final int PORTS_PER_PROCESS = 3;

    private static final long PERMIT_LEASE_MILLIS = 1_000L;
    private static final long DEADLINE_MILLIS = 15_000L;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Caller caller = new Caller();
    private final Path folder;
    private final Bundle bundle = BundleDocument.parse("bundle", BUNDLE.getBytes(StandardCharsets.UTF_8));
    private final Map<String, StartedProcess> processes = new LinkedHashMap<>();
    private static final long TABLE_TIMEOUT_MILLIS = 5_000L;

    private final Map<String, HostPort> standinAddresses = new LinkedHashMap<>();
    private final Map<String, Integer> callerPorts = new LinkedHashMap<>();
    private final Map<String, Integer> adminPorts = new LinkedHashMap<>();

    private ProcessWorld(Path folder) {
        this.folder = folder;
    }

    static ProcessWorld start(Path folder) throws Exception {
        ProcessWorld world = new ProcessWorld(folder);
        try {
            world.startAll();
            return world;
        } catch (Exception | AssertionError failure) {
            world.close();
            throw failure;
        }
    }

    Caller caller() {
        return caller;
    }

    HostPort entryAddress(int number) {
        return new HostPort(LOOPBACK, callerPorts.get("entry-" + number));
    }

    StartedProcess process(String name) {
        return processes.get(name);
    }

    Caller.Completion completion(String model, String prompt, int tokens) {
        return new Caller.Completion(model, Optional.empty(), prompt, tokens, 0, DEADLINE_MILLIS);
    }

    Caller.ServiceCall deposit(String key) {
        return new Caller.ServiceCall(
                "booking", "pay-deposit", Optional.of(key), "{\"key\":\"" + key + "\"}", DEADLINE_MILLIS);
    }

    /** Returns the text of an answer requested without streaming, or the whole body of an error response. */
    String unstreamedCompletion(HostPort entry, String model, String prompt, int tokens) throws Exception {
        String body = Json.MAPPER
                .createObjectNode()
                .put("model", model)
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .toString();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + "/v1/completions"))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        JsonNode answer = Json.MAPPER.readTree(response.body());
        return response.statusCode() == 200
                ? answer.path("choices").path(0).path("text").asText()
                : response.body();
    }

    /** Returns how often the plain service ran a key. */
    int runCount(String key) throws Exception {
        JsonNode stats = Json.MAPPER.readTree(httpGet("http://" + standinAddresses.get("booking-0") + "/stats"));
        return stats.path("runsByKey").path(key).asInt();
    }

    /** Returns the number of requests in flight at an entry, as its state dump reports it. */
    long inFlightRequests(String entry) throws Exception {
        JsonNode dump = Json.MAPPER.readTree(httpGet("http://" + LOOPBACK + ":" + adminPorts.get(entry) + "/dump"));
        return dump.path("sections").path("entry").path("inFlight").asLong();
    }

    /** Returns whether the table holds a claim under a key. */
    boolean isClaimed(String key) {
        String row = ClaimStore.rowKey("booking", key);
        org.eclipse.jetty.client.HttpClient client = HttpCalls.startClient(1, TABLE_TIMEOUT_MILLIS);
        try {
            return new HttpTableService(client, standinAddresses.get("platform"), TABLE_TIMEOUT_MILLIS)
                    .read(List.of(row))
                    .join()
                    .containsKey(row);
        } finally {
            Await.closeUnchecked(client::stop);
        }
    }

    /** Sets the faults that a stand-in injects. */
    void setFaults(String standin, String settings) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + standinAddresses.get(standin) + "/faults"))
                .POST(HttpRequest.BodyPublishers.ofString(settings))
                .build();
        http.send(request, HttpResponse.BodyHandlers.discarding());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        processes.values().forEach(StartedProcess::close);
        caller.close();
    }

    private void startAll() throws Exception {
        startStandin("platform", List.of());
        startStandin("weights", List.of("--load-millis", "100", "--loads-at-once", "4", "--loads-per-second", "50"));
        String weights = standinAddresses.get("weights").toString();
        startStandin("engine", "studio-0", List.of("--weights", weights, "--capacity-bytes", "40000000000"));
        startStandin("engine", "studio-1", List.of("--weights", weights, "--capacity-bytes", "40000000000"));
        startStandin("plain", "booking-0", List.of());
        Path key = folder.resolve("operator.key");
        Path document = Files.writeString(folder.resolve("bundle.toml"), BUNDLE);
        runCommand("bundle", "keygen", key.toString());
        runCommand("bundle", "sign", "--key", key.toString(), document.toString());
        submitBundle(key, document);
        startSidesAndEntries(Files.readString(Path.of(key + ".pub")).strip());
        for (String name : adminPorts.keySet()) {
            awaitServing(name);
        }
    }

    /** Waits until a process serves; if it ends or does not serve in time, fails the test with its log. */
    private void awaitServing(String name) throws Exception {
        StartedProcess process = processes.get(name);
        try {
            Await.until(() -> {
                assertTrue(process.isAlive(), "process ended");
                return isServing(name);
            });
        } catch (AssertionError failure) {
            throw new AssertionError(name + " does not serve requests, its log: " + process.logText(), failure);
        }
    }

    private void submitBundle(Path key, Path document) throws Exception {
        String platform = "http://" + standinAddresses.get("platform");
        runCommand("bundle", "submit", "--platform", platform, "--trusted-key", key + ".pub", document.toString());
    }

    private void startSidesAndEntries(String publicKey) throws Exception {
        SettingsText settingsTexts =
                new SettingsText(standinAddresses.get("platform"), publicKey, 2, PERMIT_LEASE_MILLIS, 0L);
        for (Bundle.Service service : bundle.services()) {
            for (int replica = 0; replica < service.replicas(); replica++) {
                String name = SettingsText.sideName(service.name(), replica);
                List<Integer> ports = freePorts();
                startRole("side", name, settingsTexts.side(service, replica, standinAddresses.get(name), ports), ports);
            }
        }
        for (int number = 0; number < ENTRIES; number++) {
            List<Integer> ports = freePorts();
            callerPorts.put("entry-" + number, ports.get(2));
            startRole("entry", "entry-" + number, settingsTexts.entry(number, "waxwingquay", ports), ports);
        }
    }

    private void startRole(String role, String name, String settings, List<Integer> ports) throws IOException {
        adminPorts.put(name, ports.get(1));
        Path file = Files.writeString(folder.resolve(name + ".toml"), settings);
        processes.put(
                name,
                StartedProcess.start(folder.resolve(name + ".log"), List.of(role, "--settings", file.toString())));
    }

    private void startStandin(String kind, List<String> options) throws Exception {
        startStandin(kind, kind, options);
    }

    private void startStandin(String kind, String name, List<String> options) throws Exception {
        List<String> arguments = new ArrayList<>(List.of("standin", kind, "--port", "0"));
        arguments.addAll(options);
        StartedProcess started = StartedProcess.start(folder.resolve(name + "-standin.log"), arguments);
        processes.put(name + "-standin", started);
        standinAddresses.put(name, new HostPort(LOOPBACK, started.awaitPort()));
    }

    private void runCommand(String... arguments) throws Exception {
        StartedProcess.runToEnd(folder.resolve("command-" + arguments[1] + ".log"), List.of(arguments));
    }

    /** Returns whether a process is ready and, if it is an entry, answers a completion of each model and a deposit. */
    private boolean isServing(String name) throws Exception {
        if (!callerPorts.containsKey(name)) {
            return isReady(name);
        }
        int number = Integer.parseInt(name.substring("entry-".length()));
        return isReady(name)
                && knowsSides(name)
                && caller.complete(entryAddress(number), completion("throwing", "ready?", 1))
                        .join()
                        .isWhole()
                && caller.complete(entryAddress(number), completion("glazing", "ready?", 1))
                        .join()
                        .isWhole()
                && caller.call(entryAddress(number), deposit("ready-" + number))
                        .join()
                        .isWhole();
    }

    private boolean knowsSides(String name) throws Exception {
        return httpGet("http://" + LOOPBACK + ":" + adminPorts.get(name) + "/dump")
                .contains("studio-1");
    }

    private boolean isReady(String name) throws Exception {
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + LOOPBACK + ":" + adminPorts.get(name) + "/readyz"))
                    .build();
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException notListening) {
            return false;
        }
    }

    private String httpGet(String url) throws Exception {
        return http.send(HttpRequest.newBuilder(URI.create(url)).build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static List<Integer> freePorts() {
        int first = FreePorts.adjacent(PORTS_PER_PROCESS, List.of(LOOPBACK));
        return IntStream.range(first, first + PORTS_PER_PROCESS).boxed().toList();
    }
}
