package io.waxwingquay.forward;

import io.waxwingquay.net.ServerRequest;
import io.waxwingquay.suspect.Fingerprint;
import io.waxwingquay.suspect.PromptPartSuspects;
import io.waxwingquay.suspect.PromptPartSuspects.Position;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;

/** What identifies a request, and what it shares with others, when a replica crashes under it. */
final class RequestFingerprints {

    private final String attemptId;
    private final LongSupplier wholeSupplier;
    private final List<String> promptParts;
    private OptionalLong whole = OptionalLong.empty();
    private long[] crashHashes;

    private RequestFingerprints(String attemptId, LongSupplier wholeSupplier, List<String> promptParts) {
        this.attemptId = attemptId;
        this.wholeSupplier = wholeSupplier;
        this.promptParts = promptParts;
    }

    /**
     * Returns the fingerprints of a request of a caller, which are computed when they are needed.
     *
     * @param codec knows the fields that a caller keeps for each attempt.
     * @param request the request.
     * @param head its head.
     */
    static RequestFingerprints of(MessageCodec codec, ServerRequest request, MessageCodec.RequestHead head) {
        return new RequestFingerprints(head.id(), () -> hash(codec, request), head.sharedPromptParts());
    }

    /** Returns the fingerprints of a request with a known hash and known ids of the shared parts of its prompt. */
    static RequestFingerprints of(String attemptId, long whole, List<String> promptParts) {
        return new RequestFingerprints(attemptId, () -> whole, promptParts);
    }

    String attemptId() {
        return attemptId;
    }

    /** Returns the hash of all that an attempt of the same request repeats. */
    long whole() {
        if (whole.isEmpty()) {
            whole = OptionalLong.of(wholeSupplier.getAsLong());
        }
        return whole.getAsLong();
    }

    /** Returns the ids of the parts of the prompt that other requests may share. */
    List<String> promptParts() {
        return promptParts;
    }

    /**
     * Returns the hashes of all that may be to blame for a crash: the parts, in the order of {@link #promptParts}, and at
     * the end the whole request. The array is not to be changed.
     */
    long[] crashHashes() {
        if (crashHashes == null) {
            crashHashes = LongStream.concat(
                            promptParts.stream().mapToLong(PromptPartSuspects::hash), LongStream.of(whole()))
                    .toArray();
        }
        return crashHashes;
    }

    /** Returns where the hash at an index of {@link #crashHashes} stands in the request. */
    Position position(int index) {
        if (index == promptParts.size()) {
            return Position.WHOLE;
        }
        return index == promptParts.size() - 1 ? Position.LAST : Position.EARLIER;
    }

    private static long hash(MessageCodec codec, ServerRequest request) {
        List<byte[]> parts = new ArrayList<>();
        parts.add(bytes(request.method()));
        parts.add(bytes(request.target()));
        codec.identityFields(request.fields()).forEach(text -> parts.add(bytes(text)));
        parts.add(request.body());
        return Fingerprint.of(parts);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
