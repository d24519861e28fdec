package io.waxwingquay.placement;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Weighted rendezvous hashing: the probability that a side wins an item is proportional to its weight, and adding or
 * removing a side reassigns only the items that it wins.
 */
public final class RendezvousHash {

    private static final double TWO_TO_53 = 0x1.0p53;
    private static final int DROPPED_BITS = 11;

    private RendezvousHash() {}

    /**
     * Hashes a name. A pair of name hashes is combined by {@link #uniform}.
     *
     * @param name the name.
     * @return the hash.
     */
    public static long hash(String name) {
        return MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Maps a pair to a number between 0 and 1, both exclusive; the same pair always gives the same number.
     *
     * @param itemHash the hash of the item's name.
     * @param sideHash the hash of the name of a process that may win it.
     * @return the number; the highest wins.
     */
    public static double uniform(long itemHash, long sideHash) {
        long mixed = finalizeHash(itemHash ^ Long.rotateLeft(sideHash, Integer.SIZE));
        return ((mixed >>> DROPPED_BITS) + 1) / (TWO_TO_53 + 1);
    }

    /**
     * Returns the score of a pair, which grows with the uniform number and the weight; the highest score wins.
     *
     * @param uniform the number to which {@link #uniform} maps the pair.
     * @param weight the weight of the process.
     * @return the score.
     */
    public static double score(double uniform, double weight) {
        return -weight / Math.log(uniform);
    }

    // The 64-bit finalizer of MurmurHash3, which the library does not expose separately.
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
