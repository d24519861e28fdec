package io.waxwingquay.suspect;

import io.waxwingquay.transport.generated.PromptPartNews;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Quarantined prompt parts as kept outside all processes. Calls fail with the cause if the archive can't be reached. */
public interface QuarantineArchive {

    /**
     * Reads all records that have not expired.
     *
     * @return the records.
     */
    CompletableFuture<List<PromptPartNews>> readAll();

    /**
     * Writes a record, or replaces the one of the same part.
     *
     * @param record the record.
     * @return completed once the record is kept.
     */
    CompletableFuture<Void> write(PromptPartNews record);

    /**
     * Removes the record of a part, if there is one.
     *
     * @param part the hash of the part.
     * @return completed once there is none.
     */
    CompletableFuture<Void> remove(long part);
}
