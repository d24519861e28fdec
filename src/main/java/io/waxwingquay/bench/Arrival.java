package io.waxwingquay.bench;

import io.waxwingquay.bench.Caller.Completion;
import io.waxwingquay.bench.Caller.ServiceCall;
import java.util.Optional;

/**
 * One scheduled request of an open-loop load. Exactly one of completion and call is present.
 *
 * @param atMicros time at which it is sent, from the start of the load.
 * @param completion the requested completion, if it is one.
 * @param call the call to a plain service, if it is one.
 */
record Arrival(long atMicros, Optional<Completion> completion, Optional<ServiceCall> call) {

    static Arrival of(long atMicros, Completion completion) {
        return new Arrival(atMicros, Optional.of(completion), Optional.empty());
    }

    static Arrival of(long atMicros, ServiceCall call) {
        return new Arrival(atMicros, Optional.empty(), Optional.of(call));
    }

    long deadlineMillis() {
        return completion.map(Completion::deadlineMillis).orElseGet(() -> call.orElseThrow()
                .deadlineMillis());
    }
}
