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
 * What this side publishes of itself, and the demand it has seen. Safe for concurrent use.
 */
final class SelfRecord {

    private static final StateChart<SideState, SideEvent> CHART =
            StateChart.load(SideEvent.CHART_NAME, SideState.class, SideEvent.class);
    private static final long DEMAND_MILLIS = 30_000L;
    private static final long DEMAND_PUBLISH_MILLIS = 5_000L;
    private static final double DEMAND_BYTES_PER_SECOND = 3_000.0;
    private static final int HIGHEST_STEP = 60;
    private static final double NEGLIGIBLE_PER_SECOND = 0.01;

    private final SideContext context;
    private final TargetKind kind;
    private final Supplier<Optional<Snapshot>> memory;
    private final Map<String, DecayedRate> demand = new TreeMap<>();
    private Optional<SideRecord> published = Optional.empty();
    private SideState state = CHART.initial();
    private long publishedMillis;
    private long version;

    SelfRecord(SideContext context, TargetKind kind, Supplier<Optional<Snapshot>> memory) {
        this.context = context;
        this.kind = kind;
        this.memory = memory;
    }

    synchronized SideState state() {
        return state;
    }

    synchronized void on(SideEvent event) {
        state = CHART.next(state, event).orElse(state);
        publish();
    }

    synchronized void noteDemand(String item) {
        demand.computeIfAbsent(item, name -> new DecayedRate(context.clock(), DEMAND_MILLIS))
                .add(1.0);
    }

    /** Publishes the record if it changed; a change of demand alone waits a little. */
    synchronized void publish() {
        demand.values().removeIf(rate -> rate.perSecond() < NEGLIGIBLE_PER_SECOND);
        SideRecord next = record();
        if (published.filter(next::equals).isPresent()) {
            return;
        }
        long nowMillis = context.clock().monotonicMillis();
        boolean demandOnly = published
                .filter(last -> withoutDemand(last).equals(withoutDemand(next)))
                .isPresent();
        if (demandOnly && nowMillis - publishedMillis < demandWaitMillis(next)) {
            return;
        }
        version++;
        publishedMillis = nowMillis;
        next.setVersion(version);
        published = Optional.of(next);
        context.membership().publish(next.deepCopy());
    }

    /** 0 for none, else 1 + floor(2 * log2(perSecond)), within 1 and 60. */
    static int demandStep(double perSecond) {
        if (perSecond < NEGLIGIBLE_PER_SECOND) {
            return 0;
        }
        int step = 1 + (int) Math.floor(2.0 * Math.log(perSecond) / Math.log(2.0));
        return Math.max(1, Math.min(HIGHEST_STEP, step));
    }

    // At 2,400 sides, one change each 5 s would send every process some 600 KB/s of others' records.
    private long demandWaitMillis(SideRecord next) {
        int sides = context.membership().sides().size();
        return Math.max(DEMAND_PUBLISH_MILLIS, PublishInterval.minMillis(sides, next, DEMAND_BYTES_PER_SECOND));
    }

    private SideRecord record() {
        Optional<Snapshot> snapshot = memory.get();
        SideIdentity self = context.identity();
        return new SideRecord(
                self.sideId(),
                self.address().host(),
                self.address().port(),
                self.dataCentre(),
                self.serviceName(),
                self.replica(),
                kind,
                self.epoch(),
                version,
                state,
                snapshot.map(Snapshot::capacityBytes).orElse(0L),
                items(snapshot));
    }

    private List<ItemRecord> items(Optional<Snapshot> snapshot) {
        TreeSet<String> names = new TreeSet<>(demand.keySet());
        snapshot.ifPresent(found ->
                found.holdings().keySet().stream().filter(found::isResident).forEach(names::add));
        List<ItemRecord> items = new ArrayList<>();
        for (String name : names) {
            boolean resident = snapshot.filter(found -> found.isResident(name)).isPresent();
            double perSecond = demand.containsKey(name) ? demand.get(name).perSecond() : 0.0;
            items.add(new ItemRecord(name, resident, demandStep(perSecond)));
        }
        return items;
    }

    private static SideRecord withoutDemand(SideRecord record) {
        SideRecord bare = record.deepCopy();
        bare.getItems().removeIf(item -> !item.isResident());
        bare.getItems().forEach(item -> item.setDemandStep(0));
        return bare;
    }
}
