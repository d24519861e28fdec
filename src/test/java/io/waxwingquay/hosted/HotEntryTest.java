package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.hosted.HostedDeployment.Answer;
import io.waxwingquay.standin.prepared.BalancerStandin;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The balancer hands nearly all new connections to one of two entries. */
class HotEntryTest {

    private static final int CLIENTS = 12;
    private static final int REQUESTS = 240;
    private static final int MAX_ATTEMPTS = 1_000;

    private final ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    private HostedDeployment deployment;
    private BalancerStandin balancer;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
        deployment.startSecondEntry();
        deployment.engine1.behaviour(Behaviour.stream(3, 0));
        deployment.engine2.behaviour(Behaviour.stream(3, 0));
        balancer = new BalancerStandin(deployment.entryAddresses());
    }

    @AfterEach
    void stop() {
        clients.shutdownNow();
        deployment.close();
    }

    // Guards against refusals at an entry that gets nearly all requests, by a share of connections, retries or room
    // that
    // fits only while all entries get as many.
    @Test
    void requestsAreServedWhileNearlyAllConnectionsReachOneEntry() throws Exception {
        balancer.preferOne();
        serveAll("a");
        balancer.rotation(deployment.entryAddresses().get(0), false);
        serveAll("b");
    }

    private void serveAll(String round) throws Exception {
        List<Future<Answer>> answers = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            String id = round + number;
            answers.add(clients.submit(() -> ask(id)));
        }
        int served = 0;
        for (Future<Answer> answer : answers) {
            served += answer.get().complete() && answer.get().status() == 200 ? 1 : 0;
        }
        assertEquals(REQUESTS, served);
        long distinct = startedIds().stream()
                .filter(id -> id.startsWith(round))
                .distinct()
                .count();
        assertEquals(REQUESTS, distinct);
        assertTrue(startedIds().stream().filter(id -> id.startsWith(round)).count() < REQUESTS * 1.2);
    }

    /** Sends a request until an entry takes its connection. */
    private Answer ask(String id) throws Exception {
        Optional<HostPort> previous = Optional.empty();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            HostPort entry = balancer.choose(id, previous);
            Optional<Answer> answer = askAt(entry, id);
            if (answer.isPresent()) {
                return answer.get();
            }
            previous = Optional.of(entry);
        }
        throw new IllegalStateException("no entry has read " + id);
    }

    /** Returns whether an entry did not take the connection; any other refusal counts as one. */
    private static boolean isNotTaken(Answer answer) {
        return answer.status() == 503 && answer.body().endsWith("too much work here");
    }

    private Optional<Answer> askAt(HostPort entry, String id) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName(entry.host()), entry.port())) {
            socket.setSoTimeout(30_000);
            String request = HostedDeployment.request("POST", "/s/" + id, id, "Model: m\r\n", "");
            return Optional.of(HostedDeployment.exchange(socket, request)).filter(answer -> !isNotTaken(answer));
        }
    }

    private List<String> startedIds() {
        List<String> all = new ArrayList<>(deployment.engine1.startedAttemptIds());
        all.addAll(deployment.engine2.startedAttemptIds());
        return all;
    }
}
