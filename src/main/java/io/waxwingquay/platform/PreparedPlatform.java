package io.waxwingquay.platform;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.fleet.WatchedTable;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.residency.EngineControl;
import java.util.Map;
import java.util.Optional;

/**
 * What the platform offers to one process. All of it runs on the loop.
 */
public final class PreparedPlatform {

    /** The path at which the platform asks whether a process is ready. */
    public static final String READINESS_PATH = "/readyz";

    /** Well above a slow answer of the store, so that a slow store is not taken for a lost one. */
    private static final long STORE_TIMEOUT_MILLIS = 1_500L;

    /** Other processes of ours answer from memory; one that does not is asked no longer. */
    private static final long COPY_TIMEOUT_MILLIS = 600L;

    private static final String CONFIGURATION_TABLE = "op";
    private static final String CONFIGURATION_KEY = "config";
    private static final String REPLICA_TABLE = "servers";
    private static final String READ_PATH = "/rows-get?table=";

    private final EventLoop loop;
    private final PlatformClient store;
    private final Map<String, TableCopy> copies =
            Map.of(CONFIGURATION_TABLE, new TableCopy(), REPLICA_TABLE, new TableCopy());

    /**
     * The platform as one process reaches it.
     *
     * @param loop where everything runs.
     * @param storeAddress the platform's store.
     */
    public PreparedPlatform(EventLoop loop, HostPort storeAddress) {
        this.loop = loop;
        this.store = new PlatformClient(loop, storeAddress, STORE_TIMEOUT_MILLIS);
    }

    /**
     * The operator's table, of which the configuration is one row.
     *
     * @return the table.
     */
    public WatchedTable<Manifest> configurationTable() {
        return configurationTable(store);
    }

    /**
     * The operator's table as another process read it.
     *
     * @param peer where that process answers for its copies.
     * @return the table; it can be read, not followed.
     */
    public WatchedTable<Manifest> configurationTableAt(HostPort peer) {
        return configurationTable(new PlatformClient(loop, peer, COPY_TIMEOUT_MILLIS));
    }

    private WatchedTable<Manifest> configurationTable(PlatformClient caller) {
        return new StoreTable<>(
                caller,
                CONFIGURATION_TABLE,
                (key, node) -> key.equals(CONFIGURATION_KEY) ? ManifestReader.read(node) : Optional.empty(),
                copies.get(CONFIGURATION_TABLE));
    }

    /**
     * The list in which replicas enter themselves.
     *
     * @return the table.
     */
    public WatchedTable<ReplicaRecord> replicaTable() {
        return replicaTable(store);
    }

    /**
     * The list of replicas as another process read it.
     *
     * @param peer where that process answers for its copies.
     * @return the table; it can be read, not followed.
     */
    public WatchedTable<ReplicaRecord> replicaTableAt(HostPort peer) {
        return replicaTable(new PlatformClient(loop, peer, COPY_TIMEOUT_MILLIS));
    }

    private WatchedTable<ReplicaRecord> replicaTable(PlatformClient caller) {
        return new StoreTable<>(caller, REPLICA_TABLE, ReplicaReader::row, copies.get(REPLICA_TABLE));
    }

    /**
     * Answers another process that reads a table here.
     *
     * @param target the path and query that it asks for.
     * @return the rows as this process read them last; empty if nothing of the kind is known here.
     */
    public Optional<byte[]> encodedCopy(String target) {
        if (!target.startsWith(READ_PATH)) {
            return Optional.empty();
        }
        String rest = target.substring(READ_PATH.length());
        String table = rest.indexOf('&') < 0 ? rest : rest.substring(0, rest.indexOf('&'));
        return Optional.ofNullable(copies.get(table)).flatMap(TableCopy::encode);
    }

    /**
     * The engine on this VM.
     *
     * @param address where it is.
     * @param holder the name under which this process gives orders.
     * @return its control.
     */
    public EngineControl engineControl(HostPort address, String holder) {
        return new HttpEngineControl(loop, address, holder);
    }
}
