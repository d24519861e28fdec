package io.waxwingquay.net;

import java.util.function.LongFunction;
import org.eclipse.jetty.http.HttpFields;

/**
 * The memory that a server may use for its callers.
 *
 * @param budget counts it.
 * @param refusalFields creates the header fields of a response that refuses a request for lack of memory or of time, with
 *     the delay after which its caller may retry.
 */
public record ServerMemory(BufferBudget budget, LongFunction<HttpFields> refusalFields) {

    /**
     * Returns memory that is not limited.
     *
     * @return the memory, of which nothing is refused.
     */
    public static ServerMemory unlimited() {
        return new ServerMemory(BufferBudget.disabled(), retryAfterMillis -> HttpFields.EMPTY);
    }
}
