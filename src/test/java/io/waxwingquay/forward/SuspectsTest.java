package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.ServerRequest;
import io.waxwingquay.platform.HeaderCodec;
import io.waxwingquay.suspect.SharedSuspects;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SuspectsTest {

    private final AtomicInteger told = new AtomicInteger();
    private final SuspectTracker suspects =
            new SuspectTracker(new SharedSuspects(() -> 0, new Random(3)), () -> 0, told::incrementAndGet);

    @BeforeEach
    void crashTwoReplicas() {
        HttpFields fields = fields("h", "m", "p:1").put("Attempt-Id", "1").put("Deadline-Remaining", "900");
        of("/x", fields, "body").broke(target("a"));
        of("/x", fields, "body").broke(target("b"));
    }

    // A caller sends its request again: another attempt, less time left, and for a stream the last event that it
    // has. What is asked for is the same.
    @Test
    void anotherAttemptIsTheSameRequest() {
        HttpFields fields = fields("h", "m", "p:1")
                .put("Attempt-Id", "2")
                .put("Deadline-Remaining", "400")
                .put("Last-Event-Id", "7");
        assertTrue(of("/x", fields, "body").isRefused());
    }

    @Test
    void whatDiffersInOnePartIsAnotherRequest() {
        assertFalse(of("/y", fields("h", "m", "p:1"), "body").isRefused());
        assertFalse(of("/x?q", fields("h", "m", "p:1"), "body").isRefused());
        assertFalse(of("/x", fields("i", "m", "p:1"), "body").isRefused());
        assertFalse(of("/x", fields("h", "n", "p:1"), "body").isRefused());
        assertFalse(of("/x", fields("h", "m", "p:2"), "body").isRefused());
        assertFalse(of("/x", fields("h", "m", "p:1"), "").isRefused());
        assertFalse(of("/x", HttpFields.build().put("Host", "h"), "body").isRefused());
    }

    // The caller comes again at once, through another entry. That one has to know sooner than with the next news.
    @Test
    void crashIsToldSoon() {
        assertTrue(told.get() >= 2);
    }

    private Suspicion of(String target, HttpFields fields, String body) {
        return suspects.of(
                new HeaderCodec(), new ServerRequest("POST", target, fields, body.getBytes(StandardCharsets.UTF_8), 0));
    }

    private static HttpFields.Mutable fields(String host, String model, String prompt) {
        return HttpFields.build().put("Host", host).put("Model", model).put("Prompt-Prefix", prompt);
    }

    private static Target target(String id) {
        ReplicaRecord record = new ReplicaRecord(
                id, 1, "plain", new HostPort("10.0.0.1", 80), "z", 4, false, OptionalLong.empty(), List.of());
        return new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 1));
    }
}
