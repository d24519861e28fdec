package io.waxwingquay.placement;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Weighted rendezvous hashing: a side wins an item with a chance in proportion to its weight, and a side that comes
 * or goes changes only the items that it wins.
 */
final class RendezvousHash {

    private static final double TWO_TO_53 = 0x1.0p53;
    private static final int DROPPED_BITS = 11;

    private RendezvousHash() {}

    /** Hashed once for a name; pairs are then mixed from two of these. */
    static long hash(String name) {
        return MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0];
    }

    /** A number between 0 and 1, both left out, that a pair always gets. */
    static double uniform(long itemHash, long sideHash) {
        long mixed = finalizeHash(itemHash ^ Long.rotateLeft(sideHash, Integer.SIZE));
        return ((mixed >>> DROPPED_BITS) + 1) / (TWO_TO_53 + 1);
    }

    /** The higher the better; grows with the uniform number and with the weight. */
    static double score(double uniform, double weight) {
        return -weight / Math.log(uniform);
    }

    // MurmurHash3's 64-bit finalizer, which the library does not offer by itself.
    private static long finalizeHash(long value) {
        long mixed = value;
        mixed ^= mixed >>> 33;
        mixed *= 0xff51afd7ed558ccdL;
        mixed ^= mixed >>> 33;
        mixed *= 0xc4ceb9fe1a85ec53L;
        mixed ^= mixed >>> 33;
        return mixed;
    }
}
