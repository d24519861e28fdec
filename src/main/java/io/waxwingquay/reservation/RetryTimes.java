package io.waxwingquay.reservation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

/**
 * Chooses the times at which denied callers retry. Each rank has places at the rate at which slots become free for it, and
 * each denial books one of them, chosen at random within the next span that has any, so that callers denied together do
 * not retry together. A booking ends with its time.
 */
final class RetryTimes {

    static final long BUCKET_MILLIS = 50L;

    /** The least number of buckets of a span; more if that many have no place. */
    private static final int SPAN_BUCKETS = 10;

    private static final double TOLERANCE = 1e-9;

    /** The latest time that is booked; most callers of the shortest deadlines would have left before. */
    private static final long MAX_RETRY_MILLIS = 10_000L;

    /** The time until an engine that leaves or lacks the model may be worth asking, before a random part is added. */
    static final long UNBOOKED_MILLIS = 1_000L;

    private final Map<Rank, TreeMap<Long, Integer>> bookingsByRank = new HashMap<>();
    private final RandomGenerator random;

    RetryTimes(RandomGenerator random) {
        this.random = random;
    }

    /** Returns a time that depends on no slot. */
    Retry unbooked(Rank rank) {
        return new Retry(rank, OptionalLong.empty(), UNBOOKED_MILLIS + random.nextLong(UNBOOKED_MILLIS / 2));
    }

    /** Frees the place of a caller that will not retry at its time; ignored if it has none or its time is over. */
    void release(Retry retry) {
        Optional.ofNullable(bookingsByRank.get(retry.rank))
                .ifPresent(bookings -> retry.bucket.ifPresent(
                        bucket -> bookings.computeIfPresent(bucket, (each, count) -> count > 1 ? count - 1 : null)));
    }

    /**
     * Books a place.
     *
     * @param rank the rank of the request.
     * @param placesPerMilli the slots that become free for the rank.
     * @param earliestMillis the time from now until the first of them is left by the requests that wait.
     * @param nowMillis the monotonic time.
     * @return the time of the retry.
     */
    Retry book(Rank rank, double placesPerMilli, long earliestMillis, long nowMillis) {
        expire(nowMillis);
        TreeMap<Long, Integer> bookings = bookingsByRank.computeIfAbsent(rank, each -> new TreeMap<>());
        double placesPerBucket = placesPerMilli * BUCKET_MILLIS;
        long span = Math.max(SPAN_BUCKETS, (long) Math.ceil(1 / placesPerBucket));
        long latestBucket = bucket(nowMillis + MAX_RETRY_MILLIS);
        long start = bucket(nowMillis + Math.max(earliestMillis, BUCKET_MILLIS));
        while (start + span <= latestBucket) {
            List<Long> free = freeBuckets(bookings, placesPerBucket, start, span);
            if (!free.isEmpty()) {
                long chosen = free.get(random.nextInt(free.size()));
                bookings.merge(chosen, 1, Integer::sum);
                return new Retry(rank, OptionalLong.of(chosen), withinBucket(chosen, nowMillis));
            }
            start += span;
        }
        long unbooked = latestBucket - random.nextInt(SPAN_BUCKETS);
        return new Retry(rank, OptionalLong.empty(), withinBucket(unbooked, nowMillis));
    }

    /** Returns the number of bookings that have not ended. */
    int size() {
        return bookingsByRank.values().stream()
                .flatMap(bookings -> bookings.values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Returns the buckets of a span that can take a booking; none if the span has as many as places. The places are those
     * of the whole span, since a bucket alone often has less than one.
     */
    private static List<Long> freeBuckets(
            TreeMap<Long, Integer> bookings, double placesPerBucket, long start, long span) {
        int booked = bookings.subMap(start, start + span).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        if (booked + 1 > placesPerBucket * span + TOLERANCE) {
            return List.of();
        }
        double mostInBucket = Math.ceil(placesPerBucket);
        return LongStream.range(start, start + span)
                .filter(bucket -> bookings.getOrDefault(bucket, 0) < mostInBucket)
                .boxed()
                .toList();
    }

    private long withinBucket(long bucket, long nowMillis) {
        return Math.max(1, bucket * BUCKET_MILLIS + random.nextLong(BUCKET_MILLIS) - nowMillis);
    }

    private void expire(long nowMillis) {
        bookingsByRank.values().forEach(bookings -> bookings.headMap(bucket(nowMillis))
                .clear());
        bookingsByRank.values().removeIf(TreeMap::isEmpty);
    }

    private static long bucket(long millis) {
        return Math.floorDiv(millis, BUCKET_MILLIS);
    }

    /**
     * The time at which a denied caller retries.
     *
     * @param rank the rank of its request.
     * @param bucket the bucket in which its place is booked; empty if none is.
     * @param delayMillis the time from the denial until the retry.
     */
    record Retry(Rank rank, OptionalLong bucket, long delayMillis) {}
}
