package io.waxwingquay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class StoreVersionTest {

    // Guards against versions that are compared by their numbers across a restore of the store.
    @Property(seed = "11")
    void laterTimelineIsNewerWhateverTheNumbers(
            @ForAll @LongRange(min = 0, max = 3) long timeline,
            @ForAll @LongRange(min = 0) long number,
            @ForAll @LongRange(min = 0) long laterNumber) {
        StoreVersion before = new StoreVersion(timeline, number);
        StoreVersion after = new StoreVersion(timeline + 1, laterNumber);
        assertTrue(after.isNewerThan(before));
        assertFalse(before.isNewerThan(after));
        assertTrue(after.isOnLaterTimelineThan(before));
        assertEquals(number > laterNumber, before.isNewerThan(new StoreVersion(timeline, laterNumber)));
        assertFalse(before.isNewerThan(before));
    }
}
