package io.waxwingquay.suspect;

import io.waxwingquay.common.CallbackGuard;
import io.waxwingquay.common.Delayer;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps quarantined prompt parts in an archive. Processes relearn them from each other after a restart; only if all are lost
 * at once would the part crash targets until it is found anew. All of it runs on the event loop.
 */
public final class QuarantineKeeper implements PromptPartSuspects.Listener {

    /** The longest delay before a quarantine is written, so that of many processes that learn of it one writes. */
    private static final long MAX_WRITE_DELAY_MILLIS = 1_000L;

    private static final long RETRY_MILLIS = 1_000L;
    private static final System.Logger LOG = System.getLogger("waxwingquay.suspect");

    private final PromptPartSuspects parts;
    private final QuarantineArchive archive;
    private final Delayer delayer;
    private final RandomGenerator random;

    /**
     * Creates a keeper.
     *
     * @param parts the parts known to this process.
     * @param archive keeps them.
     * @param delayer runs tasks later, on the event loop.
     * @param random spreads the writes of several processes.
     */
    public QuarantineKeeper(
            PromptPartSuspects parts, QuarantineArchive archive, Delayer delayer, RandomGenerator random) {
        this.parts = parts;
        this.archive = archive;
        this.delayer = delayer;
        this.random = random;
    }

    /** Reads what is kept, and keeps from now on what changes. */
    public void start() {
        parts.listener(this);
        untilDone(() -> true, () -> archive.readAll().thenAccept(parts::merge));
    }

    /** {@inheritDoc} */
    @Override
    public void quarantined(long part) {
        delayer.schedule(
                random.nextLong(MAX_WRITE_DELAY_MILLIS),
                () -> untilDone(() -> parts.isQuarantined(part), () -> writeIfMissing(part)));
    }

    /** {@inheritDoc} */
    @Override
    public void released(long part) {
        untilDone(() -> !parts.isQuarantined(part), () -> archive.remove(part));
    }

    private CompletableFuture<Void> writeIfMissing(long part) {
        return archive.readAll().thenCompose(kept -> {
            boolean isKept = kept.stream().anyMatch(record -> record.getPart() == part);
            return isKept
                    ? CompletableFuture.completedFuture(null)
                    : parts.record(part).map(archive::write).orElseGet(() -> CompletableFuture.completedFuture(null));
        });
    }

    /** Repeats a call until it succeeds or is no longer wanted. */
    private void untilDone(BooleanSupplier isWanted, Supplier<CompletableFuture<Void>> call) {
        if (!isWanted.getAsBoolean()) {
            return;
        }
        call.get().whenComplete(CallbackGuard.of("call of the archive", (done, failure) -> {
            if (failure != null) {
                LOG.log(System.Logger.Level.INFO, "suspect: archive not reached cause={0}", failure.getMessage());
                delayer.schedule(RETRY_MILLIS, () -> untilDone(isWanted, call));
            }
        }));
    }
}
