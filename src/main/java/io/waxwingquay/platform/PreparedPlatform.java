package io.waxwingquay.platform;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.fleet.WatchedTable;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.residency.EngineControl;
import io.waxwingquay.suspect.QuarantineArchive;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The services of the prepared platform to one process: its store and the engine. All of it runs on the loop.
 */
public final class PreparedPlatform {

    /** The path of the platform's readiness check. */
    public static final String READINESS_PATH = "/readyz";

    /** Timeout of calls to the store; well above its slow answers, so that a slow store does not count as lost. */
    private static final long STORE_TIMEOUT_MILLIS = 1_500L;

    /** Timeout of calls to other processes of this system, which answer from memory. */
    private static final long COPY_TIMEOUT_MILLIS = 600L;

    private static final String CONFIGURATION_TABLE = "op";
    private static final String CONFIGURATION_KEY = "config";
    private static final String REPLICA_TABLE = "servers";
    private static final String READ_PATH = "/rows-get?table=";

    private final EventLoop loop;
    private final PlatformClient store;
    private final Map<String, TableCopy> copies = Map.of(
            CONFIGURATION_TABLE, new TableCopy(ManifestReader::versionInRow), REPLICA_TABLE, new TableCopy(row -> 0L));

    /**
     * Creates the platform access of a process.
     *
     * @param loop the event loop on which everything runs.
     * @param storeAddress the address of the platform's store.
     */
    public PreparedPlatform(EventLoop loop, HostPort storeAddress) {
        this.loop = loop;
        this.store = new PlatformClient(loop, storeAddress, STORE_TIMEOUT_MILLIS);
    }

    /**
     * Returns the operator's table, in which the configuration is one row.
     *
     * @return the table.
     */
    public WatchedTable<Manifest> configurationTable() {
        return configurationTable(store);
    }

    /**
     * Returns the operator's table as last read by another process.
     *
     * @param peer the address of that process's admin server.
     * @return the table; it can be read but not watched.
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
     * Returns the table in which replicas register themselves.
     *
     * @return the table.
     */
    public WatchedTable<ReplicaRecord> replicaTable() {
        return replicaTable(store);
    }

    /**
     * Returns the replica table as last read by another process.
     *
     * @param peer the address of that process's admin server.
     * @return the table; it can be read but not watched.
     */
    public WatchedTable<ReplicaRecord> replicaTableAt(HostPort peer) {
        return replicaTable(new PlatformClient(loop, peer, COPY_TIMEOUT_MILLIS));
    }

    private WatchedTable<ReplicaRecord> replicaTable(PlatformClient caller) {
        return new StoreTable<>(caller, REPLICA_TABLE, ReplicaReader::row, copies.get(REPLICA_TABLE));
    }

    /**
     * Returns the table in which quarantined prompt parts outlast all processes.
     *
     * @return the archive.
     */
    public QuarantineArchive quarantineArchive() {
        return new QuarantineTable(store);
    }

    /**
     * Returns this process's copy of a table for another process, in the store's own format.
     *
     * @param target the requested path and query.
     * @return the encoded rows as last read by this process; empty if the target is no known table or was never read.
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
     * Returns the control of the engine on this VM.
     *
     * @param address the engine's address.
     * @param holder the name under which this process gives orders.
     * @param healthPath the path of the engine's health check, once the configuration is known.
     * @return the engine's control.
     */
    public EngineControl engineControl(HostPort address, String holder, Supplier<Optional<String>> healthPath) {
        return new HttpEngineControl(loop, address, holder, healthPath);
    }
}
