package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventCutterTest {

    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

    private final List<String> events = new ArrayList<>();
    private final List<OptionalLong> ids = new ArrayList<>();
    private final EventCutter cutter = new EventCutter((bytes, id) -> {
        events.add(new String(bytes, StandardCharsets.UTF_8));
        ids.add(id);
    });

    // A replica stops in the middle of an event and the stream goes on elsewhere. The caller would see half an event of
    // one run joined with the next one's; so nothing of an event may leave before its blank line.
    @Test
    void holdsBackAnEventWithoutItsEnd() {
        take("id: 1\ndata: a\n\nid: 2\ndata: b\n");
        assertEquals(List.of("id: 1\ndata: a\n\n"), events);
        assertFalse(cutter.isBetweenEvents());
        assertEquals("id: 2\ndata: b\n", new String(cutter.rest(), StandardCharsets.UTF_8));
    }

    @Test
    void readsTheIdOfEachEvent() {
        take(STREAM + "data: no id\n\nid: x\n\n");
        assertEquals(
                List.of(
                        OptionalLong.of(1),
                        OptionalLong.of(2),
                        OptionalLong.of(3),
                        OptionalLong.empty(),
                        OptionalLong.empty()),
                ids);
    }

    @Property(seed = "7")
    void cutsTheSameHoweverTheBytesCome(@ForAll @IntRange(min = 1, max = 47) int partBytes) {
        events.clear();
        byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < all.length; from += partBytes) {
            cutter.take(ByteBuffer.wrap(all, from, Math.min(partBytes, all.length - from)));
        }
        assertEquals(3, events.size());
        assertEquals(STREAM, String.join("", events));
        assertTrue(cutter.isBetweenEvents());
    }

    private void take(String text) {
        cutter.take(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
}
