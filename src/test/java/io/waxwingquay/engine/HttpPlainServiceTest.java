package io.waxwingquay.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.engine.PlainService.Call;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.standin.PlainServiceStandin;
import io.waxwingquay.testing.Await;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpPlainServiceTest {

    private HttpClient client;
    private PlainServiceStandin standin;

    @BeforeEach
    void start() {
        client = HttpCalls.startClient(8, 2_000L);
        standin = PlainServiceStandin.builder().start();
    }

    @AfterEach
    void stop() throws Exception {
        standin.close();
        client.stop();
    }

    @Test
    void answersAndCountsByKeyAndRequest() throws Exception {
        assertEquals(200, Await.value(service(5_000L).call(call("r1"))).statusCode());
        assertEquals(Map.of("k", 1), standin.stats().runsByKey());
        assertEquals(Map.of("r1", 1), standin.stats().runsByRequest());
    }

    @Test
    void lostAnswerIsReportedAsLostAndTheCallIsNotRepeated() {
        // The service runs the deposit and its answer is lost: the side sees a closed connection. If the call were
        // reported as not run, or resent by the HTTP client, the deposit would be paid twice.
        standin.faults().inject(Faults.Kind.LOSE_ANSWER, 1);

        TargetException failure =
                Await.failure(TargetException.class, service(5_000L).call(call("r2")));

        assertEquals(TargetException.Kind.LOST, failure.kind());
        assertEquals(Map.of("k", 1), standin.stats().runsByKey());
    }

    @Test
    void unresponsiveServiceIsLostAfterTheTimeoutAndDoesNotBlockTheNextCall() throws Exception {
        // The first call gets no answer on an open connection. Its timeout must end it as lost, since it was sent, and
        // the next call must use a new connection.
        standin.faults().inject(Faults.Kind.SILENT, 1);

        TargetException failure =
                Await.failure(TargetException.class, service(200L).call(call("r3")));

        assertEquals(TargetException.Kind.LOST, failure.kind());
        assertEquals(200, Await.value(service(5_000L).call(call("r4"))).statusCode());
    }

    private HttpPlainService service(long timeoutMillis) {
        return new HttpPlainService(client, new HostPort("127.0.0.1", standin.port()), timeoutMillis);
    }

    private static Call call(String requestId) {
        return new Call("take-deposit", requestId, Optional.of("k"), "application/json", "{}".getBytes());
    }
}
