package io.waxwingquay.origin;

import io.waxwingquay.transport.generated.OriginQuestion;
import io.waxwingquay.transport.generated.OriginReply;
import io.waxwingquay.transport.generated.OriginReport;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins that a process beside an engine keeps for entries. An origin never changes, so that the first statement
 * about a stream holds, and an answer is right however late it is.
 */
public final class OriginTable {

    /** How long an origin is kept: longer than any caller goes on asking for the rest of a stream. */
    static final long RETENTION_MILLIS = 30_000L;

    /** The most origins that are kept, some megabytes of them; the oldest are dropped. */
    static final int MAX_ORIGINS = 20_000;

    /** Length of the longest id of a stream that is kept; a caller chooses its ids. */
    static final int MAX_ID_CHARACTERS = 128;

    private final Map<String, Kept> byStream = new LinkedHashMap<>();

    /**
     * Keeps the origins that an entry reports.
     *
     * @param report the report.
     * @param nowMillis the monotonic time.
     */
    public void report(OriginReport report, long nowMillis) {
        report.getOrigins().stream()
                .filter(stated -> stated.getStreamId().length() <= MAX_ID_CHARACTERS)
                .forEach(stated -> byStream.putIfAbsent(stated.getStreamId(), new Kept(Origin.of(stated), nowMillis)));
        dropOldest(nowMillis);
    }

    /**
     * Answers a question of an entry.
     *
     * @param question the question.
     * @return the answer, without an origin if none is kept.
     */
    public OriginReply answer(OriginQuestion question) {
        OriginReply reply = new OriginReply(question.getStreamId());
        Optional.ofNullable(byStream.get(question.getStreamId()))
                .ifPresent(kept -> reply.setOrigin(kept.origin.ofStream(question.getStreamId())));
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

    private record Kept(Origin origin, long sinceMillis) {}
}
