package io.waxwingquay.forward;

import io.waxwingquay.transport.generated.SlotReply;
import java.util.Optional;

/**
 * The denial of a slot.
 *
 * @param retryAfterMillis when there is expected to be a slot for the request; 0 if that was not told.
 * @param reason why it was denied, as told by the side process; an empty text if it told none.
 */
record SlotDenial(long retryAfterMillis, String reason) {

    /** Reason of a denial because no slot is expected in time. */
    static final String ROOM = "room";

    private static final String PROMPTS = "prompts";
    private static final String ADAPTER = "adapter";
    private static final String MODEL = "model";
    private static final String LEAVING = "leaving";

    /** Reads a denial from the reply that states it. */
    static SlotDenial of(SlotReply reply) {
        return new SlotDenial(
                Math.max(0, reply.getWaitMillis()),
                Optional.ofNullable(reply.getReason()).orElse(""));
    }

    /** Returns whether the engine was lost or is about to leave, which says nothing about the other engines. */
    boolean isEngineLost() {
        return reason.equals(LEAVING);
    }

    /** Returns whether the reason usually passes within some ten milliseconds: a place for an adapter becomes free. */
    boolean isShort() {
        return reason.equals(ADAPTER);
    }

    boolean hasRetryTime() {
        return retryAfterMillis > 0;
    }

    /** Describes the denial as the reason of a refusal; an unknown reason counts as a lack of room. */
    String describe(MessageCodec.RequestHead head, int engines) {
        String denied = ", slot denied by " + engines + (engines == 1 ? " engine" : " engines");
        return switch (reason) {
            case PROMPTS -> "no room for its prompt" + denied;
            case ADAPTER -> "adapter " + head.adapter().orElse("") + " does not come" + denied;
            case MODEL -> "model " + head.model().orElse("") + " is in no engine" + denied;
            case LEAVING -> "its engine leaves" + denied;
            default -> "no room" + denied;
        };
    }
}
