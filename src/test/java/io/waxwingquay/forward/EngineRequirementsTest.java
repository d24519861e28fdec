package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EngineRequirementsTest {

    private final SlotFixture fixture = new SlotFixture();

    // Guards against a hint that has a request take more of an engine than it can, or that changes decisions of entries
    // where no slots are granted.
    @Test
    void hintCountsWithinTheMaximumAndOnlyWhereSlotsAreGranted() {
        assertEquals(40, EngineRequirements.expectedOutputTokens(head(200, OptionalLong.of(40))));
        assertEquals(200, EngineRequirements.expectedOutputTokens(head(200, OptionalLong.of(900))));
        assertEquals(100, EngineRequirements.expectedOutputTokens(head(200, OptionalLong.empty())));
        assertEquals(40, EngineRequirements.expectedOutputTokens(head(0, OptionalLong.of(40))));
        Target granting = fixture.target("g", 0);
        Target other = fixture.target("o", 0);
        other.update(SlotFixture.update(0).setNumber(2).setGrantsSlots(false), fixture.nowMillis);
        MessageCodec.RequestHead hinted = head(200, OptionalLong.of(40));
        assertEquals(1_040, EngineRequirements.kvTokensAt(granting, hinted, fixture.nowMillis));
        assertEquals(1_100, EngineRequirements.kvTokensAt(other, hinted, fixture.nowMillis));
        assertEquals(1_100, EngineRequirements.kvTokens(hinted));
    }

    private static MessageCodec.RequestHead head(long maxOutputTokens, OptionalLong hintTokens) {
        return new MessageCodec.RequestHead(
                "r1",
                Optional.empty(),
                Optional.of("m"),
                Optional.empty(),
                1_000,
                maxOutputTokens,
                hintTokens,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }
}
