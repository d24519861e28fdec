package io.waxwingquay.transport;

/**
 * Observes each finished call between processes, so that control traffic can be counted by kind.
 */
@FunctionalInterface
public interface CallObserver {

    /** An observer that does nothing. */
    CallObserver DISABLED = (method, writtenBytes, readBytes) -> {};

    /**
     * Observes the end of a successful or failed call.
     *
     * @param method the name of the called method.
     * @param writtenBytes the number of bytes written to the connection for the call.
     * @param readBytes the number of bytes read from the connection for the call.
     */
    void observe(String method, long writtenBytes, long readBytes);
}
