package io.waxwingquay.reservation;

/**
 * The answer to a request for a slot.
 *
 * @param key the request.
 * @param attemptId the id of the attempt, for logs.
 * @param decision what was decided.
 */
public record SlotAnswer(SlotRequest.Key key, String attemptId, SlotDecision decision) {}
