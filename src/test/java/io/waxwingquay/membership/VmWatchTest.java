package io.waxwingquay.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.Clock;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.VmList;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.TransportException;
import io.waxwingquay.transport.generated.SideState;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class VmWatchTest {

    private static final int SIDES = 60;
    private static final String WATCHED = GossipSimulation.name(1);

    private final FakeList list = new FakeList();
    private boolean answersPings = true;
    private long nowMillis = 1_000;
    private final Clock clock = new Clock() {
        @Override
        public long monotonicMillis() {
            return nowMillis;
        }

        @Override
        public long epochMillis() {
            return nowMillis;
        }
    };

    // If every process read the list, the table service would be overloaded.
    @Test
    void threeProcessesOfEachDataCentreReadTheList() {
        long readers = IntStream.range(0, SIDES)
                .filter(index -> watch(index, fullTable()).isReader())
                .count();
        assertEquals(3 * 6, readers);
    }

    @Test
    void listThatGoesBackwardsDoesNotRevertLeaving() {
        // The platform lists a VM as leaving, then returns an older version of the list that shows it as live. The side
        // is still draining: work routed to it because of the older list would be refused or cut off.
        MemberTable table = fullTable();
        VmWatch reader = reader(table);
        list.vms = List.of(vm(1, true));
        reader.round().join();
        list.vms = List.of(vm(1, false));
        reader.round().join();
        assertEquals(SideState.LEAVING, table.side(WATCHED).orElseThrow().state());
    }

    // The list still says leaving after the side restarted. Applied to the new epoch, the flag would keep work away.
    @Test
    void staleLeavingFlagDoesNotAffectRestartedSide() {
        MemberTable table = fullTable();
        VmWatch reader = reader(table);
        list.vms = List.of(vm(1, true));
        reader.round().join();
        table.publish(GossipSimulation.record(1).setEpoch(2));
        reader.round().join();
        assertEquals(SideState.SERVING, table.side(WATCHED).orElseThrow().state());
    }

    @Test
    void deadSidesAreAvoidedButNotExpiredWhileListIsUnavailable() {
        // The table service is unavailable and every other side becomes unresponsive. Expiring them would empty the
        // membership, and nothing would restore it after the partition.
        MemberTable table = fullTable();
        VmWatch reader = reader(table);
        list.isUnavailable = true;
        answersPings = false;
        for (int round = 0; round < 60; round++) {
            nowMillis += 2_000;
            reader.round().join();
        }
        assertEquals(SIDES, table.size());
        assertTrue(table.sides().stream().filter(Side::reachable).count() < SIDES / 2);
        answersPings = true;
        for (int round = 0; round < 60; round++) {
            nowMillis += 2_000;
            reader.round().join();
        }
        assertEquals(SIDES, table.sides().stream().filter(Side::acceptsWork).count());
    }

    private MemberTable fullTable() {
        MemberTable table = new MemberTable(clock, MemberTable.Timing.DEFAULT);
        table.merge(IntStream.range(0, SIDES).mapToObj(GossipSimulation::record).toList());
        return table;
    }

    private VmWatch reader(MemberTable table) {
        return IntStream.range(0, SIDES)
                .filter(index -> index != 1)
                .mapToObj(index -> watch(index, table))
                .filter(VmWatch::isReader)
                .findFirst()
                .orElseThrow();
    }

    private VmWatch watch(int index, MemberTable table) {
        VmList.Vm self = vm(index, false);
        Peers.Peer peer = new Peers.Peer(self.name(), new HostPort(self.host(), self.port()), self.dataCentre());
        Peers peers = new Peers(peer, table, List.of());
        return new VmWatch(list, peers, new PingConnections(), clock, new Random(index), self, 2_000);
    }

    private static VmList.Vm vm(int index, boolean leaving) {
        return new VmList.Vm(
                GossipSimulation.name(index), "127.0.0.1", 20_000 + index, "dc-" + index % 6, "side", leaving);
    }

    private static final class FakeList implements VmList {

        private List<Vm> vms = new ArrayList<>();
        private boolean isUnavailable;

        @Override
        public CompletableFuture<List<Vm>> list() {
            return isUnavailable
                    ? CompletableFuture.failedFuture(new PlatformException.Unavailable("list is unavailable", null))
                    : CompletableFuture.completedFuture(vms);
        }

        @Override
        public CompletableFuture<Void> announce(Vm vm) {
            return CompletableFuture.completedFuture(null);
        }
    }

    private final class PingConnections implements Connections {

        @Override
        public SideProtocol to(HostPort address) {
            return (SideProtocol) Proxy.newProxyInstance(
                    SideProtocol.class.getClassLoader(),
                    new Class<?>[] {SideProtocol.class},
                    (proxy, method, arguments) -> answersPings
                            ? CompletableFuture.completedFuture(true)
                            : CompletableFuture.failedFuture(new TransportException(false, "unresponsive", null)));
        }

        @Override
        public void close() {}
    }
}
