package io.waxwingquay.net;

/**
 * Where the parts of a streamed response come from.
 */
public interface PausableSource {

    /** Stops reading further parts, which stay with their sender meanwhile. */
    void pause();

    /** Continues to read. */
    void resume();
}
