package io.waxwingquay.platform;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.fleet.WatchedTable;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.residency.EngineControl;
import java.util.Optional;

/**
 * What the platform offers to one process. All of it runs on the loop.
 */
public final class PreparedPlatform {

    /** The path at which the platform asks whether a process is ready. */
    public static final String READINESS_PATH = "/readyz";

    /** Well above a slow answer of the store, so that a slow store is not taken for a lost one. */
    private static final long STORE_TIMEOUT_MILLIS = 1_500L;

    private static final String CONFIGURATION_KEY = "config";

    private final EventLoop loop;
    private final HttpCaller store;

    /**
     * The platform as one process reaches it.
     *
     * @param loop where everything runs.
     * @param storeAddress the platform's store.
     */
    public PreparedPlatform(EventLoop loop, HostPort storeAddress) {
        this.loop = loop;
        this.store = new HttpCaller(loop, storeAddress, STORE_TIMEOUT_MILLIS);
    }

    /**
     * The operator's table, of which the configuration is one row.
     *
     * @return the table.
     */
    public WatchedTable<Manifest> manifests() {
        return new StoreTable<>(
                store,
                "op",
                (key, node) -> key.equals(CONFIGURATION_KEY) ? ManifestReader.read(node) : Optional.empty());
    }

    /**
     * The list in which replicas enter themselves.
     *
     * @return the table.
     */
    public WatchedTable<ReplicaRecord> replicas() {
        return new StoreTable<>(store, "servers", ReplicaReader::row);
    }

    /**
     * The engine on this VM.
     *
     * @param address where it is.
     * @param holder the name under which this process gives orders.
     * @return its control.
     */
    public EngineControl engine(HostPort address, String holder) {
        return new HttpEngineControl(loop, address, holder);
    }
}
