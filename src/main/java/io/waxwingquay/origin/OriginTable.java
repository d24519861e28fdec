package io.waxwingquay.origin;

import io.waxwingquay.transport.generated.OriginQuestion;
import io.waxwingquay.transport.generated.OriginReply;
import io.waxwingquay.transport.generated.OriginReport;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins that a process beside an engine keeps for entries. An origin never changes, so that an answer is right however
 * late it is.
 */
public final class OriginTable {

    /** How long an origin is kept: longer than any caller tries to resume a stream. */
    static final long RETENTION_MILLIS = 30_000L;

    /** The most origins that are kept, a few megabytes of them; the oldest are dropped. */
    static final int MAX_ORIGINS = 20_000;

    private final Map<Long, Kept> byStream = new LinkedHashMap<>();

    /**
     * Keeps the origins that an entry reports.
     *
     * @param report the report.
     * @param nowMillis the monotonic time.
     */
    public void report(OriginReport report, long nowMillis) {
        report.getOrigins()
                .forEach(stated -> byStream.merge(
                        stated.getStream(), new Kept(stated.getSoftwareVersion(), nowMillis), Kept::agreeingWith));
        dropOldest(nowMillis);
    }

    /**
     * Answers a question of an entry.
     *
     * @param question the question.
     * @return the answer, without a version if no origin is kept.
     */
    public OriginReply answer(OriginQuestion question) {
        OriginReply reply = new OriginReply(question.getStream());
        Optional.ofNullable(byStream.get(question.getStream()))
                .ifPresent(kept -> reply.setSoftwareVersion(kept.softwareVersion));
        return reply;
    }

    private void dropOldest(long nowMillis) {
        Iterator<Kept> oldestFirst = byStream.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean isExpired = nowMillis - oldestFirst.next().sinceMillis > RETENTION_MILLIS;
            if (!isExpired && byStream.size() <= MAX_ORIGINS) {
                return;
            }
            oldestFirst.remove();
        }
    }

    private record Kept(String softwareVersion, long sinceMillis) {

        /** Two callers may use one id, so that versions which differ state none. */
        private Kept agreeingWith(Kept later) {
            return softwareVersion.equals(later.softwareVersion)
                    ? this
                    : new Kept(StreamOrigins.UNKNOWN_VERSION, sinceMillis);
        }
    }
}
