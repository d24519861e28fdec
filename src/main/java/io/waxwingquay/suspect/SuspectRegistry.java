package io.waxwingquay.suspect;

import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.Collection;
import java.util.List;

/**
 * Registry of requests, by fingerprint, that were running when targets crashed. Safe for concurrent use.
 */
public interface SuspectRegistry {

    /**
     * Returns how a request is to be treated.
     *
     * @param fingerprint the request's fingerprint.
     * @return its standing.
     */
    Standing standing(long fingerprint);

    /**
     * Records a crash of a target.
     *
     * @param crashId unique name of the crash.
     * @param fingerprints the requests that were running.
     * @return the changed records, to be sent to other processes.
     */
    List<SuspectRecord> recordCrash(String crashId, Collection<Long> fingerprints);

    /**
     * Records that a suspect ran to completion without a crash.
     *
     * @param fingerprint the request's fingerprint.
     */
    void clear(long fingerprint);

    /**
     * Merges records of other processes. Crash names form a union, so order and repetition do not matter.
     *
     * @param records the records.
     */
    void merge(List<SuspectRecord> records);

    /**
     * Returns all records that have not expired.
     *
     * @return an immutable snapshot.
     */
    List<SuspectRecord> snapshot();

    /** How a request is to be treated. */
    enum Standing {
        /** No crash counts against it. */
        CLEAR,
        /** One crash counts against it: it runs beside no other suspect. */
        SUSPECT,
        /** Two crashes count against it: it is refused. */
        QUARANTINED
    }
}
