package io.waxwingquay.process;

import io.waxwingquay.common.Clock;
import io.waxwingquay.store.TableService;
import io.waxwingquay.store.TableService.Row;
import io.waxwingquay.store.TableService.Write;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The number that names one life of a side process. It is also its fencing number towards the engine.
 *
 * <p>Failure: a VM is replaced by one whose clock runs behind. Symptom: with the wall clock alone the replacement has
 * the lower number, so its peers keep the dead one and a fenced engine refuses its orders. The number is therefore
 * raised above the one kept in the table service. With the table service out the wall clock alone has to do, as a side
 * that could not start would leave its models unserved.
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
     * Takes the number for this life.
     *
     * @param name the process's name.
     * @return the number; does not fail.
     */
    CompletableFuture<Long> allocate(String name) {
        String key = KEY_PREFIX + name;
        return table.read(List.of(key))
                .thenCompose(rows -> commitNext(key, Optional.ofNullable(rows.get(key))))
                .exceptionally(failure -> {
                    LOG.log(System.Logger.Level.WARNING, "process: No boot epoch from the table, using the clock.");
                    return clock.epochMillis();
                });
    }

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
