package io.waxwingquay.pace;

/**
 * The time that an engine took for one event of each of its streams, as measured over several events.
 *
 * @param eventMillis the time from one event of a stream to its next.
 * @param batch the streams that produced events at once.
 * @param promptTokens the prompt tokens that were read during one event.
 */
record EventSample(double eventMillis, double batch, double promptTokens) {}
