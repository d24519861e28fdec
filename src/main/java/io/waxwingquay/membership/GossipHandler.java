package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.SideRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Answers gossip requests. The content of a request determines the step of the comparison:
 *
 * <ol>
 *   <li>one combined hash: the answer asks for {@link #ALL_BUCKETS} if the hashes differ;
 *   <li>a hash for each bucket and no digests: the answer asks for a sample of the buckets that differ;
 *   <li>hashes of the wanted buckets, the others {@link #NOT_COMPARED}, and digests of the records in the wanted
 *       buckets: the answer holds the records that are newer in this process, and digests of those that are newer in
 *       the requesting process;
 *   <li>no hash: changes only.
 * </ol>
 *
 * <p>A digest is a side record without a host. It holds the name, epoch, version and state.
 */
public final class GossipHandler {

    /** The wanted bucket that stands for all buckets, as an answer to differing combined hashes. */
    static final int ALL_BUCKETS = -1;

    /** A placeholder for the hash of a bucket that is not compared. */
    static final long NOT_COMPARED = 1L;

    private static final int MAX_RECORDS_COMPARED = 150;

    private final GossipContext context;

    GossipHandler(GossipContext context) {
        this.context = context;
    }

    /**
     * Merges the changes of a request and answers it. A request that lacks a field is answered with the bundle version
     * only.
     *
     * @param request the request.
     * @return the answer, limited in size.
     */
    public GossipAnswer answer(GossipRequest request) {
        if (!isComplete(request)) {
            return new GossipAnswer(context.bundleVersion().getAsLong(), List.of(), List.of(), List.of());
        }
        HostPort from = new HostPort(request.getFromHost(), request.getFromPort());
        context.peers().noteRequest(request.getFromId(), from);
        context.noteBundleVersion(request.getBundleVersion(), from);
        context.suspects().merge(request.getSuspects());
        context.table().merge(request.getSides());
        GossipAnswer answer = compare(request)
                .setBundleVersion(context.bundleVersion().getAsLong())
                .setSuspects(context.suspectsToSend());
        context.traffic().countAnswered(request, answer);
        return answer;
    }

    private static boolean isComplete(GossipRequest request) {
        return request.isSetFromId()
                && request.isSetFromHost()
                && request.isSetBucketHashes()
                && request.isSetSides()
                && request.isSetSuspects();
    }

    private GossipAnswer compare(GossipRequest request) {
        List<Long> hashes = request.getBucketHashes();
        GossipAnswer answer = new GossipAnswer(0, List.of(), List.of(), List.of());
        if (hashes.size() == 1) {
            boolean isEqual = hashes.get(0) == context.table().combinedHash();
            return isEqual ? answer : answer.setWantedBuckets(List.of(ALL_BUCKETS));
        }
        if (hashes.size() != BucketHashes.BUCKETS) {
            return answer;
        }
        List<Integer> differing = differing(hashes);
        boolean hasDigests = hashes.contains(NOT_COMPARED);
        return hasDigests
                ? answer.setSides(difference(differing, request.getSides()))
                : answer.setWantedBuckets(sampleBuckets(differing));
    }

    private List<Integer> differing(List<Long> hashes) {
        List<Long> own = context.table().bucketHashes();
        return IntStream.range(0, BucketHashes.BUCKETS)
                .filter(bucket -> hashes.get(bucket) != NOT_COMPARED)
                .filter(bucket -> !hashes.get(bucket).equals(own.get(bucket)))
                .boxed()
                .collect(Collectors.toCollection(ArrayList::new));
    }

    // Leaves out at least one bucket, so that a request of step three always contains NOT_COMPARED.
    private List<Integer> sampleBuckets(List<Integer> differing) {
        int perBucket = Math.max(1, context.table().size() / BucketHashes.BUCKETS);
        int count = Math.max(1, Math.min(MAX_RECORDS_COMPARED / perBucket, BucketHashes.BUCKETS - 1));
        return context.sample(differing, count);
    }

    private List<SideRecord> difference(List<Integer> buckets, List<SideRecord> sent) {
        Map<String, SideRecord> digests = new HashMap<>();
        sent.forEach(record -> digests.put(record.getSideId(), record));
        List<SideRecord> newerHere = context.table().recordsIn(Set.copyOf(buckets)).stream()
                .filter(record -> isNewer(record, digests.get(record.getSideId())))
                .toList();
        List<SideRecord> answer = new ArrayList<>(context.limitSize(newerHere));
        digests.values().stream()
                .filter(digest -> isNewer(
                        digest, context.table().record(digest.getSideId()).orElse(null)))
                .map(GossipHandler::digestOf)
                .forEach(answer::add);
        return answer;
    }

    private static boolean isNewer(SideRecord record, SideRecord known) {
        return known == null || Records.join(known, record).isPresent();
    }

    static SideRecord digestOf(SideRecord record) {
        return new SideRecord()
                .setSideId(record.getSideId())
                .setEpoch(record.getEpoch())
                .setVersion(record.getVersion())
                .setState(record.getState());
    }
}
