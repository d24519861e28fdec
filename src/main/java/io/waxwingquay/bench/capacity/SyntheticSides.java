package io.waxwingquay.bench.capacity;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.Clock;
import io.waxwingquay.membership.MemberTable;
import io.waxwingquay.transport.generated.ItemRecord;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Generates synthetic side records and bundles of any size. */
final class SyntheticSides {

    static final String SERVICE = "models";
    static final int DATA_CENTRES = 6;
    static final int BASE_PORT = 20_000;
    private static final long TARGET_CAPACITY_BYTES = 640L << 30;
    private static final long MODEL_BYTES = 60L << 30;

    private SyntheticSides() {}

    /** Creates a side with resident items, each with some demand. Models are assigned to sides round-robin. */
    static SideRecord record(int index, int items, int models) {
        List<ItemRecord> residentItems = IntStream.range(0, items)
                .mapToObj(item -> new ItemRecord(itemName((index * items + item) % models), true, 3 + item % 5))
                .toList();
        return new SideRecord(
                name(index),
                "127.0.0.1",
                BASE_PORT + index,
                dataCentre(index),
                SERVICE,
                index,
                TargetKind.MODEL_ENGINE,
                1,
                1,
                SideState.SERVING,
                TARGET_CAPACITY_BYTES,
                residentItems);
    }

    static MemberTable table(int sides, int items, int models) {
        MemberTable table = new MemberTable(Clock.SYSTEM, MemberTable.Timing.DEFAULT);
        IntStream.range(0, sides).forEach(index -> table.merge(List.of(record(index, items, models))));
        return table;
    }

    static Bundle bundle(int models) {
        List<Bundle.Model> offered = IntStream.range(0, models)
                .mapToObj(index -> new Bundle.Model("furnace-log-" + index, SERVICE, "1", MODEL_BYTES, index % 100))
                .toList();
        return new Bundle(1, new Bundle.Keys(List.of(), List.of()), List.of(), offered, List.of(), List.of());
    }

    static String name(int index) {
        return "models-" + index;
    }

    static String dataCentre(int index) {
        return "dc-" + index % DATA_CENTRES;
    }

    static String itemName(int model) {
        return "model:furnace-log-" + model + "@1";
    }

    static int sizeBytes(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
        } catch (TException failure) {
            throw new IllegalStateException("the message cannot be serialized by Thrift", failure);
        }
    }
}
