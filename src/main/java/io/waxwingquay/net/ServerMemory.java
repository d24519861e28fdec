package io.waxwingquay.net;

import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;

/**
 * The memory that a server may use for its callers.
 *
 * @param budget counts it.
 * @param refusalFields creates the header fields of a response that refuses a request for lack of memory.
 */
public record ServerMemory(BufferBudget budget, Supplier<HttpFields> refusalFields) {

    /**
     * Returns memory that is not limited.
     *
     * @return the memory, of which nothing is refused.
     */
    public static ServerMemory unlimited() {
        return new ServerMemory(BufferBudget.disabled(), () -> HttpFields.EMPTY);
    }
}
