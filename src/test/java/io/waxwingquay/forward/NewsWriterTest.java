package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.ServerLimits;
import io.waxwingquay.transport.generated.EntryNews;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class NewsWriterTest {

    private static final Engine LARGE = engine(64);
    private static final Engine SMALL = engine(8);

    private final TargetTable targets =
            new TargetTable(record -> new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 1));

    // Two services have engines, and a third has none. If each process heard of all engines, or of another service's
    // configuration, it would plan for engines that can't hold its models and read its own configuration for ever.
    @Test
    void eachEngineHearsOfItsOwnServiceOnly() {
        list("a", "large", "10.0.0.1");
        list("b", "small", "10.0.0.2");
        list("c", "small", "10.0.0.3");
        list("d", "plain", "10.0.0.4");
        Map<String, Manifest.Service> services = Map.of(
                "large", new Manifest.Service("large", 9, Optional.of(LARGE)),
                "small", new Manifest.Service("small", 9, Optional.of(SMALL)),
                "plain", new Manifest.Service("plain", 9, Optional.empty()));
        Manifest manifest = new Manifest(1, List.of(), services, ServerLimits.DEFAULT);
        Map<HostPort, EntryNews> news = new NewsWriter(targets, new DemandMeter()).write("entry", manifest, 0);
        assertEquals(3, news.size());
        assertEquals(List.of("10.0.0.1:80"), at(news, "10.0.0.1").getEngineAddresses());
        assertEquals(
                Set.of("10.0.0.2:80", "10.0.0.3:80"),
                Set.copyOf(at(news, "10.0.0.2").getEngineAddresses()));
        assertEquals(LARGE.digest(), at(news, "10.0.0.1").getEngineDigest());
        assertEquals(SMALL.digest(), at(news, "10.0.0.3").getEngineDigest());
    }

    private static EntryNews at(Map<HostPort, EntryNews> news, String host) {
        return news.get(new HostPort(host, 80));
    }

    private void list(String id, String service, String host) {
        ReplicaRecord record = new ReplicaRecord(
                id, 1, service, new HostPort(host, 80), "z", 4, false, OptionalLong.empty(), List.of());
        targets.onReplica(record, Optional.empty());
    }

    private static Engine engine(int slots) {
        return new Engine(slots, 1_000, 200, 2, 1, List.of());
    }
}
