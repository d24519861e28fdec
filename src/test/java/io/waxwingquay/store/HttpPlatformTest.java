package io.waxwingquay.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.standin.PlatformStandin;
import io.waxwingquay.store.TableService.CommitResult;
import io.waxwingquay.store.TableService.Write;
import io.waxwingquay.testing.Await;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpPlatformTest {

    private static final long TIMEOUT_MILLIS = 5_000L;

    private HttpClient client;
    private PlatformStandin standin;
    private HostPort address;
    private TableService table;

    @BeforeEach
    void start() {
        client = HttpCalls.startClient(8, 2_000L);
        standin = PlatformStandin.builder().start();
        address = new HostPort("127.0.0.1", standin.port());
        table = new HttpTableService(client, address, TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws Exception {
        standin.close();
        client.stop();
    }

    // A partial commit would leave rows that contradict each other.
    @Test
    void commitIsAtomicAndReportsTheConflict() throws Exception {
        assertTrue(Await.value(table.commit(List.of(new Write("a", TableService.ABSENT, "1"))))
                .committed());

        CommitResult result = Await.value(table.commit(
                List.of(new Write("b", TableService.ABSENT, "2"), new Write("a", TableService.ABSENT, "3"))));

        assertFalse(result.committed());
        assertEquals(
                Optional.of(new TableService.Row("1", 1)), result.conflicts().get("a"));
        assertEquals(
                List.of("a"),
                List.copyOf(Await.value(table.read(List.of("a", "b"))).keySet()));
        assertEquals(2, standin.stats().transactions().total());
        assertEquals(1, standin.stats().writes().total());
    }

    @Test
    void commitWithLostAnswerFailsAsUnavailableButTakesEffect() throws Exception {
        // The table commits and the answer is lost. The writer only learns that the service is unavailable and has to
        // read back to find the row. The client must not retry the write by itself.
        standin.faults().inject(Faults.Kind.LOSE_ANSWER, 1);

        Await.failure(
                PlatformException.Unavailable.class,
                table.commit(List.of(new Write("claim", TableService.ABSENT, "attempt-1"))));

        assertEquals(
                "attempt-1",
                Await.value(table.read(List.of("claim"))).get("claim").value());
        assertEquals(1, standin.stats().transactions().total());
    }

    @Test
    void writeToClosedOrUnresponsivePlatformFailsAsUnavailableWithoutEffect() throws Exception {
        // OUT closes the connection before any effect; SILENT keeps it open until the call times out. The client
        // reports both as "may have taken effect", since it cannot distinguish them from a lost answer.
        standin.faults().inject(Faults.Kind.OUT, 1);
        Await.failure(PlatformException.Unavailable.class, table.commit(List.of(new Write("a", 0, "1"))));
        standin.faults().inject(Faults.Kind.SILENT, 1);
        TableService shortTimeoutTable = new HttpTableService(client, address, 200L);
        Await.failure(PlatformException.Unavailable.class, shortTimeoutTable.commit(List.of(new Write("a", 0, "1"))));

        assertEquals(Optional.empty(), standin.row("a"));
        assertTrue(Await.value(table.commit(List.of(new Write("a", 0, "1")))).committed());
    }

    @Test
    void objectsAreStoredAndMissingObjectIsEmpty() throws Exception {
        ObjectStore store = new HttpObjectStore(client, address, TIMEOUT_MILLIS);
        Await.value(store.put("abc", new byte[] {1, 2, 3}));

        assertArrayEquals(new byte[] {1, 2, 3}, Await.value(store.get("abc")).orElseThrow());
        assertEquals(Optional.empty(), Await.value(store.get("none")));
    }

    @Test
    void vmListHoldsAnnouncedVms() throws Exception {
        VmList list = new HttpVmList(client, address, TIMEOUT_MILLIS);
        VmList.Vm vm = new VmList.Vm("vm-1", "127.0.0.1", 9_000, "north", "side", false);
        Await.value(list.announce(vm));

        assertEquals(List.of(vm), Await.value(list.list()));
    }

    @Test
    void faultsSetOverHttpTakeEffectAndUnknownFaultIsRefused() throws Exception {
        assertEquals(204, setFaults("{\"counts\":{\"OUT\":1}}"));
        assertEquals(400, setFaults("{\"counts\":{\"NONSENSE\":1}}"));

        Await.failure(PlatformException.Unavailable.class, table.read(List.of("a")));
        assertTrue(Await.value(table.read(List.of("a"))).isEmpty());
    }

    private int setFaults(String json) throws Exception {
        return client.POST("http://" + address + "/faults")
                .body(new org.eclipse.jetty.client.StringRequestContent("application/json", json))
                .send()
                .getStatus();
    }
}
