package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BodyShareTest {

    private static final int ENTRIES = 32;
    private static final long SHARE_BYTES = 1_048_576L / ENTRIES;

    private final BodyShare share = new BodyShare();

    // Guards against entries that together send an engine more than it can hold.
    @Test
    void bodiesBeyondTheShareOfThisEntryHaveNoRoom() {
        share.sent(SHARE_BYTES - 10);
        assertTrue(share.hasRoomFor(10, ENTRIES));
        assertFalse(share.hasRoomFor(11, ENTRIES));
        assertTrue(share.hasRoomFor(0, ENTRIES));
        share.ended(SHARE_BYTES - 10);
        assertEquals(0, share.heldBytes());
    }

    // Guards against a body that is never sent because it is longer than the share.
    @Test
    void oneBodyOfAnyLengthHasRoom() {
        assertTrue(share.hasRoomFor(16 * SHARE_BYTES, ENTRIES));
        share.sent(16 * SHARE_BYTES);
        assertFalse(share.hasRoomFor(1, ENTRIES));
    }
}
