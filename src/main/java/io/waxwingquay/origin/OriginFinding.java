package io.waxwingquay.origin;

import java.util.Optional;

/**
 * What was found out about the software version that started a stream.
 *
 * @param softwareVersion the version; empty if it is unknown.
 * @param source who stated it.
 * @param negativeReplies how many of the processes that were asked answered that they keep no report of the stream.
 */
public record OriginFinding(Optional<String> softwareVersion, Source source, int negativeReplies) {

    static OriginFinding unknown(int negativeReplies) {
        return new OriginFinding(Optional.empty(), Source.NOBODY, negativeReplies);
    }

    static OriginFinding of(String softwareVersion, Source source, int negativeReplies) {
        return new OriginFinding(Optional.of(softwareVersion), source, negativeReplies);
    }

    /** Who stated the version. */
    public enum Source {

        /** This entry, which saw the stream begin. */
        THIS_ENTRY,

        /** A process that keeps the report of the entry that saw the stream begin. */
        REPORT,

        /** The list of replicas, which names one version only. */
        REPLICA_LIST,

        /** Nobody. */
        NOBODY
    }
}
