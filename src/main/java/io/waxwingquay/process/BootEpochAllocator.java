package io.waxwingquay.process;

import io.waxwingquay.common.Clock;
import io.waxwingquay.store.TableService;
import io.waxwingquay.store.TableService.Row;
import io.waxwingquay.store.TableService.Write;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Allocates the epoch of an incarnation of a side process, which also is its fencing token towards the engine.
 *
 * <p>The wall clock alone does not suffice: if a VM is replaced by one whose clock runs behind, the replacement would
 * have the lower epoch, so that its peers would keep the dead incarnation and a fenced engine would refuse its orders.
 * The epoch is therefore raised above the one stored in the table service. While the table service is unavailable, the
 * wall clock alone is used, as a side that could not start would leave its models unserved.
 */
final class BootEpochAllocator {

    private static final System.Logger LOG = System.getLogger("waxwingquay.process");
    private static final String KEY_PREFIX = "epoch/";

    private final TableService table;
    private final Clock clock;

    BootEpochAllocator(TableService table, Clock clock) {
        this.table = table;
        this.clock = clock;
    }

    /**
     * Allocates an epoch for this incarnation.
     *
     * @param name the process's name.
     * @return the epoch; never completes exceptionally.
     */
    CompletableFuture<Long> allocate(String name) {
        String key = KEY_PREFIX + name;
        return table.read(List.of(key))
                .thenCompose(rows -> commitNext(key, Optional.ofNullable(rows.get(key))))
                .exceptionally(failure -> {
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "process: cannot allocate a boot epoch in the table service; using the clock.");
                    return clock.epochMillis();
                });
    }

    /** Commits an epoch above the one in the row and retries with the stored row on a conflict. */
    private CompletableFuture<Long> commitNext(String key, Optional<Row> row) {
        long lastEpoch = row.map(Row::value).map(Long::parseLong).orElse(0L);
        long epoch = Math.max(clock.epochMillis(), lastEpoch + 1L);
        long version = row.map(Row::version).orElse(TableService.ABSENT);
        Write write = new Write(key, version, Long.toString(epoch));
        return table.commit(List.of(write)).thenCompose(result -> {
            if (result.committed()) {
                return CompletableFuture.completedFuture(epoch);
            }
            return commitNext(key, result.conflicts().getOrDefault(key, Optional.empty()));
        });
    }
}
