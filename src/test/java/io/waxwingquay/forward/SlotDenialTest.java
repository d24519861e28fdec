package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.transport.generated.SlotDecision;
import io.waxwingquay.transport.generated.SlotReply;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class SlotDenialTest {

    private static final MessageCodec.RequestHead HEAD = new MessageCodec.RequestHead(
            "id",
            Optional.empty(),
            Optional.of("m"),
            Optional.of("a"),
            0,
            0,
            OptionalLong.empty(),
            List.of(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());

    // Guards against refusals that the analysis of losses counts under the wrong cause.
    @Test
    void descriptionNamesTheCause() {
        assertEquals("no room, slot denied by 1 engine", describe("room", 1));
        assertEquals("no room for its prompt, slot denied by 2 engines", describe("prompts", 2));
        assertEquals("adapter a does not come, slot denied by 3 engines", describe("adapter", 3));
        assertEquals("model m is in no engine, slot denied by 1 engine", describe("model", 1));
        assertEquals("its engine leaves, slot denied by 1 engine", describe("leaving", 1));
    }

    // Guards against a failure by a reply of a newer version of the protocol, or of one that lacks optional fields.
    @Test
    void unknownOrMissingReasonCountsAsALackOfRoom() {
        assertEquals("no room, slot denied by 1 engine", describe("other", 1));
        assertEquals("no room, slot denied by 1 engine", describe(null, 1));
    }

    // Guards against a caller that is told a time before now.
    @Test
    void negativeTimeCountsAsNone() {
        SlotDenial denial = SlotDenial.of(reply(-5, "room"));
        assertEquals(new SlotDenial(0, "room"), denial);
        assertFalse(denial.hasRetryTime());
    }

    @Test
    void reasonTellsWhetherToAskAgain() {
        assertTrue(SlotDenial.of(reply(0, "adapter")).isShort());
        assertFalse(SlotDenial.of(reply(0, "room")).isShort());
        assertTrue(SlotDenial.of(reply(0, "leaving")).isEngineLost());
        assertFalse(SlotDenial.of(reply(0, "adapter")).isEngineLost());
    }

    private static String describe(String reason, int engines) {
        return SlotDenial.of(reply(100, reason)).describe(HEAD, engines);
    }

    private static SlotReply reply(int waitMillis, String reason) {
        return new SlotReply(1, SlotDecision.DENIED, waitMillis, 7).setReason(reason);
    }
}
