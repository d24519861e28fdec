package io.waxwingquay.transport;

/**
 * Learns of each finished call between processes, so that control traffic can be counted by kind.
 */
@FunctionalInterface
public interface CallObserver {

    /** Observes nothing. */
    CallObserver DISABLED = (method, writtenBytes, readBytes) -> {};

    /**
     * A call has ended, well or badly.
     *
     * @param method name of the called method.
     * @param writtenBytes bytes written to the connection for it.
     * @param readBytes bytes read from the connection for it.
     */
    void observe(String method, long writtenBytes, long readBytes);
}
