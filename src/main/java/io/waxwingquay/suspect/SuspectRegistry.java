package io.waxwingquay.suspect;

import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.Collection;
import java.util.List;

/**
 * Fingerprints of requests that were running when targets crashed. Safe for concurrent use.
 */
public interface SuspectRegistry {

    /**
     * How a request is to be treated.
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
     * @return the changed records, to be spread.
     */
    List<SuspectRecord> recordCrash(String crashId, Collection<Long> fingerprints);

    /**
     * Records that a suspect has run to its end without harm.
     *
     * @param fingerprint the request's fingerprint.
     */
    void clear(long fingerprint);

    /**
     * Takes in records of other processes; crash names are united, so order and repetition do not matter.
     *
     * @param records the records.
     */
    void merge(List<SuspectRecord> records);

    /**
     * All records that have not expired.
     *
     * @return an immutable snapshot.
     */
    List<SuspectRecord> snapshot();

    /** How a request is to be treated. */
    enum Standing {
        /** No crash names it. */
        CLEAR,
        /** One crash names it: it runs beside no other suspect. */
        SUSPECT,
        /** Two crashes name it: it is refused. */
        QUARANTINED
    }
}
