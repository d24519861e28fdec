package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A digest of the whole table for anti-entropy. Each bucket is the XOR of the hashes of its records' (name, epoch,
 * version, state), so that updating one record costs two XORs. The state is part of the hash because a record may turn
 * LEAVING without a higher version. GONE records are left out because processes forget them at different times.
 */
final class BucketHashes {

    static final int BUCKETS = 64;

    private final long[] buckets = new long[BUCKETS];

    static int bucketOf(String sideId) {
        return MurmurHash3.hash32x86(sideId.getBytes(StandardCharsets.UTF_8)) & (BUCKETS - 1);
    }

    /** Adds the record's hash to its bucket, or removes it if it was added before. */
    void toggle(SideRecord record) {
        if (record.getState() != SideState.GONE) {
            buckets[bucketOf(record.getSideId())] ^= hashOf(record);
        }
    }

    List<Long> asList() {
        return Arrays.stream(buckets).boxed().toList();
    }

    // Hashes the buckets in order instead of XORing them, so that equal changes in two buckets do not cancel out.
    long combined() {
        ByteBuffer bytes = ByteBuffer.allocate(BUCKETS * Long.BYTES);
        Arrays.stream(buckets).forEach(bytes::putLong);
        return MurmurHash3.hash128x64(bytes.array())[0];
    }

    private static long hashOf(SideRecord record) {
        byte[] id = record.getSideId().getBytes(StandardCharsets.UTF_8);
        ByteBuffer bytes = ByteBuffer.allocate(id.length + 2 * Long.BYTES + Integer.BYTES)
                .put(id)
                .putLong(record.getEpoch())
                .putLong(record.getVersion())
                .putInt(record.getState().getValue());
        return MurmurHash3.hash128x64(bytes.array())[0];
    }
}
