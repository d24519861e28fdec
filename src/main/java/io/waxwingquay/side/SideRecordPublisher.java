package io.waxwingquay.side;

import io.waxwingquay.chart.StateChart;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.membership.PublishInterval;
import io.waxwingquay.transport.generated.ItemRecord;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Publishes the record of this side to membership, with the demand that it has measured. Safe for concurrent use.
 */
final class SideRecordPublisher {

    private static final StateChart<SideState, SideEvent> CHART =
            StateChart.load(SideEvent.CHART_NAME, SideState.class, SideEvent.class);
    private static final long DEMAND_TIME_CONSTANT_MILLIS = 30_000L;
    private static final long MIN_DEMAND_INTERVAL_MILLIS = 5_000L;
    private static final double MAX_DEMAND_BYTES_PER_SECOND = 3_000.0;
    private static final int MAX_DEMAND_STEP = 60;
    private static final double NEGLIGIBLE_DEMAND_PER_SECOND = 0.01;

    private final SideContext context;
    private final TargetKind kind;
    private final Supplier<Optional<Snapshot>> memory;
    private final Map<String, DecayedRate> demandByItem = new TreeMap<>();
    private Optional<SideRecord> published = Optional.empty();
    private SideState state = CHART.initial();
    private long publishedMillis;
    private long version;

    SideRecordPublisher(SideContext context, TargetKind kind, Supplier<Optional<Snapshot>> memory) {
        this.context = context;
        this.kind = kind;
        this.memory = memory;
    }

    synchronized SideState state() {
        return state;
    }

    /** Applies an event to the lifecycle of this side, and publishes the record. */
    synchronized void handle(SideEvent event) {
        state = CHART.next(state, event).orElse(state);
        publish();
    }

    synchronized void recordDemand(String item) {
        demandByItem
                .computeIfAbsent(item, name -> new DecayedRate(context.clock(), DEMAND_TIME_CONSTANT_MILLIS))
                .add(1.0);
    }

    /** Publishes the record if it has changed; changes of demand alone are rate-limited. */
    synchronized void publish() {
        demandByItem.values().removeIf(rate -> rate.perSecond() < NEGLIGIBLE_DEMAND_PER_SECOND);
        SideRecord next = record();
        if (published.filter(next::equals).isPresent()) {
            return;
        }
        long nowMillis = context.clock().monotonicMillis();
        boolean onlyDemandChanged = published
                .filter(last -> withoutDemand(last).equals(withoutDemand(next)))
                .isPresent();
        if (onlyDemandChanged && nowMillis - publishedMillis < demandIntervalMillis(next)) {
            return;
        }
        version++;
        publishedMillis = nowMillis;
        next.setVersion(version);
        published = Optional.of(next);
        context.membership().publish(next.deepCopy());
    }

    /** Quantises a rate: 0 if it is negligible, otherwise 1 + floor(2 * log2(perSecond)), bounded to 1 and 60. */
    static int demandStep(double perSecond) {
        if (perSecond < NEGLIGIBLE_DEMAND_PER_SECOND) {
            return 0;
        }
        int step = 1 + (int) Math.floor(2.0 * Math.log(perSecond) / Math.log(2.0));
        return Math.max(1, Math.min(MAX_DEMAND_STEP, step));
    }

    // With 2,400 sides, one change each per 5 s would send every process about 600 KB/s of records of other sides.
    private long demandIntervalMillis(SideRecord next) {
        int sides = context.membership().sides().size();
        return Math.max(
                MIN_DEMAND_INTERVAL_MILLIS, PublishInterval.minMillis(sides, next, MAX_DEMAND_BYTES_PER_SECOND));
    }

    private SideRecord record() {
        Optional<Snapshot> snapshot = memory.get();
        SideIdentity identity = context.identity();
        return new SideRecord(
                identity.sideId(),
                identity.address().host(),
                identity.address().port(),
                identity.dataCentre(),
                identity.serviceName(),
                identity.replica(),
                kind,
                identity.epoch(),
                version,
                state,
                snapshot.map(Snapshot::capacityBytes).orElse(0L),
                items(snapshot));
    }

    private List<ItemRecord> items(Optional<Snapshot> snapshot) {
        TreeSet<String> names = new TreeSet<>(demandByItem.keySet());
        snapshot.ifPresent(found ->
                found.holdings().keySet().stream().filter(found::isResident).forEach(names::add));
        List<ItemRecord> items = new ArrayList<>();
        for (String name : names) {
            boolean resident = snapshot.filter(found -> found.isResident(name)).isPresent();
            double perSecond =
                    demandByItem.containsKey(name) ? demandByItem.get(name).perSecond() : 0.0;
            items.add(new ItemRecord(name, resident, demandStep(perSecond)));
        }
        return items;
    }

    private static SideRecord withoutDemand(SideRecord record) {
        SideRecord stripped = record.deepCopy();
        stripped.getItems().removeIf(item -> !item.isResident());
        stripped.getItems().forEach(item -> item.setDemandStep(0));
        return stripped;
    }
}
