package io.waxwingquay.process;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.entry.EntryConfiguration;
import io.waxwingquay.entry.EntryNode;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.routing.SideView;
import io.waxwingquay.settings.EntrySettings;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * An entry process, assembled from its settings.
 */
public final class EntryProcess implements AutoCloseable {

    private static final String ROLE = "entry";
    private static final long DRAIN_LIMIT_MILLIS = 120_000L;
    private static final int MAX_OUTCOME_BYTES = 65_536;
    private static final int MAX_CLAIMS_PER_TRANSACTION = 64;
    private static final double PERCENT = 100.0;

    private final ProcessRuntime runtime;
    private final EntryNode node;

    private EntryProcess(ProcessRuntime runtime, EntryNode node) {
        this.runtime = runtime;
        this.node = node;
    }

    /**
     * Starts an entry process, which becomes ready when it has a bundle in force and knows a side.
     *
     * @param settings the settings.
     * @return the running process.
     */
    public static EntryProcess start(EntrySettings settings) {
        ProcessRuntime runtime = new ProcessRuntime(settings.process(), ROLE, RandomGenerator.of("L64X128MixRandom"));
        PeerHandler peerHandler =
                new PeerHandler(runtime.gossip().handler(), runtime.bundles(), runtime.suspects(), Optional.empty());
        runtime.server().servePeer(peerHandler);
        EntryNode node = EntryNode.builder()
                .configuration(toLimits(settings))
                .bundles(runtime.bundles())
                .membership(runtime.members())
                .connections(runtime.connections())
                .table(runtime.table())
                .suspects(runtime.suspects())
                .meters(runtime.meters())
                .clock(runtime.clock())
                .random(runtime.random())
                .build();
        EntryProcess process = new EntryProcess(runtime, node.start());
        runtime.startAdminServer(
                node::notReadyReason, process::drain, dump -> dump.section("entry", process::dumpState));
        runtime.start();
        return process;
    }

    /**
     * Returns the address on which callers reach this entry.
     *
     * @return the address.
     */
    public HostPort callerAddress() {
        return node.address();
    }

    /**
     * Returns the version of the bundle in force in this process.
     *
     * @return the version; 0 while there is none.
     */
    public long bundleVersion() {
        return runtime.bundles().version();
    }

    /**
     * Returns the port on which operators reach this process.
     *
     * @return the admin port.
     */
    public int adminPort() {
        return runtime.adminPort();
    }

    /**
     * Returns the address on which this process listens for other processes.
     *
     * @return the address.
     */
    public HostPort address() {
        return runtime.server().address();
    }

    /**
     * Returns this entry's view of the sides.
     *
     * @return the membership.
     */
    public Membership membership() {
        return runtime.members();
    }

    /**
     * Rejects new requests, waits for those in flight to end, and then closes.
     *
     * @return completes when closed, with whether all requests in flight ended in time.
     */
    public CompletableFuture<Boolean> drain() {
        return node.drain(DRAIN_LIMIT_MILLIS).thenApplyAsync(finished -> {
            close();
            return finished;
        });
    }

    /**
     * Returns a future of the end of this process, by a drain or otherwise.
     *
     * @return completes when this process has closed.
     */
    public CompletableFuture<Void> closed() {
        return runtime.closed();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        node.close();
        runtime.close();
    }

    private EntryState dumpState() {
        return new EntryState(
                runtime.settings().name(),
                node.inFlight(),
                node.pendingOutcomes(),
                node.retriesLeft(),
                node.loadBoard()
                        .views(runtime.members().sides(), runtime.clock().monotonicMillis()));
    }

    private static EntryConfiguration toLimits(EntrySettings settings) {
        return new EntryConfiguration(
                settings.process().host(),
                settings.callerPort(),
                settings.process().dataCentre(),
                settings.routingPolicy(),
                settings.defaultDeadlineMillis(),
                settings.maxDeadlineMillis(),
                (int) settings.maxBodyBytes(),
                MAX_OUTCOME_BYTES,
                250L,
                settings.retryBudgetPercent() / PERCENT,
                MAX_CLAIMS_PER_TRANSACTION);
    }

    /**
     * The section of an entry in the state dump.
     *
     * @param name the name of the process.
     * @param inFlight the number of requests in flight.
     * @param pendingOutcomes the number of outcomes of claimed calls that are not yet recorded in the table.
     * @param retriesLeft the number of retries that the retry budget allows now.
     * @param sides the sides with their load, as this entry knows them.
     */
    private record EntryState(
            String name, long inFlight, int pendingOutcomes, double retriesLeft, List<SideView> sides) {}
}
