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
 * An entry process, put together from its settings.
 */
public final class EntryProcess implements AutoCloseable {

    private static final String ROLE = "entry";
    private static final long DRAIN_LIMIT_MILLIS = 120_000L;
    private static final int OUTCOME_LIMIT_BYTES = 65_536;
    private static final int CLAIM_BATCH = 64;
    private static final double PERCENT = 100.0;

    private final Foundation foundation;
    private final EntryNode node;

    private EntryProcess(Foundation foundation, EntryNode node) {
        this.foundation = foundation;
        this.node = node;
    }

    /**
     * Starts an entry process. It is ready when it has a bundle in force.
     *
     * @param settings what it is told.
     * @return the running process.
     */
    public static EntryProcess start(EntrySettings settings) {
        Foundation foundation = new Foundation(settings.process(), ROLE, RandomGenerator.of("L64X128MixRandom"));
        PeerHandler peer = new PeerHandler(
                foundation.gossip().handler(), foundation.bundles(), foundation.suspects(), Optional.empty());
        foundation.server().servePeer(peer);
        EntryNode node = EntryNode.builder()
                .configuration(limits(settings))
                .bundles(foundation.bundles())
                .membership(foundation.members())
                .connections(foundation.connections())
                .table(foundation.table())
                .suspects(foundation.suspects())
                .meters(foundation.meters())
                .clock(foundation.clock())
                .random(foundation.random())
                .build();
        EntryProcess process = new EntryProcess(foundation, node.start());
        foundation.observe(process::notReady, process::drain, dump -> dump.section("entry", process::state));
        foundation.start();
        return process;
    }

    /**
     * Where callers reach it.
     *
     * @return the address.
     */
    public HostPort callerAddress() {
        return node.address();
    }

    /**
     * The version of the bundle in force here.
     *
     * @return the version, 0 while there is none.
     */
    public long bundleVersion() {
        return foundation.bundles().version();
    }

    /**
     * Where operators reach it.
     *
     * @return the admin port.
     */
    public int adminPort() {
        return foundation.adminPort();
    }

    /**
     * Where it listens for other processes.
     *
     * @return the address.
     */
    public HostPort address() {
        return foundation.server().address();
    }

    /**
     * What it knows of the sides.
     *
     * @return the membership.
     */
    public Membership membership() {
        return foundation.members();
    }

    /**
     * Refuses new requests, finishes those in flight, then closes.
     *
     * @return whether everything in flight was finished.
     */
    public CompletableFuture<Boolean> drain() {
        return node.drain(DRAIN_LIMIT_MILLIS).thenApplyAsync(finished -> {
            close();
            return finished;
        });
    }

    /**
     * Tells when this process has closed, by a drain or otherwise.
     *
     * @return completes then.
     */
    public CompletableFuture<Void> closed() {
        return foundation.closed();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        node.close();
        foundation.close();
    }

    private Optional<String> notReady() {
        return foundation.bundles().current().isPresent() ? Optional.empty() : Optional.of("no bundle in force yet");
    }

    private EntryState state() {
        return new EntryState(
                foundation.settings().name(),
                node.inFlight(),
                node.pendingOutcomes(),
                node.retriesLeft(),
                node.loadBoard()
                        .views(foundation.members().sides(), foundation.clock().monotonicMillis()));
    }

    private static EntryConfiguration limits(EntrySettings settings) {
        return new EntryConfiguration(
                settings.process().host(),
                settings.callerPort(),
                settings.process().dataCentre(),
                settings.routingPolicy(),
                settings.defaultDeadlineMillis(),
                settings.maxDeadlineMillis(),
                (int) settings.maxBodyBytes(),
                OUTCOME_LIMIT_BYTES,
                250L,
                settings.retryBudgetPercent() / PERCENT,
                CLAIM_BATCH);
    }

    /**
     * What the state dump shows of an entry.
     *
     * @param name its name.
     * @param inFlight requests in flight.
     * @param pendingOutcomes outcomes of claimed calls still to be recorded in the table.
     * @param retriesLeft retries that may be sent now.
     * @param sides the sides with their load, as this entry knows them.
     */
    private record EntryState(
            String name, long inFlight, int pendingOutcomes, double retriesLeft, List<SideView> sides) {}
}
