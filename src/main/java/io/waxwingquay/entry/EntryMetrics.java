package io.waxwingquay.entry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Registers and updates the metrics of an entry process.
 *
 * <ul>
 *   <li>{@code waxwingquay.requests} {kind, outcome}: finished requests; outcome is {@code answered} or a code
 *       of {@link FailureCode}.
 *   <li>{@code waxwingquay.attainment} {kind, met}: requests answered completely within their deadline, and all others.
 *   <li>{@code waxwingquay.refusals} {reason, execution}: failed requests by code and execution.
 *   <li>{@code waxwingquay.retries} {reason}: attempts after the first.
 *   <li>{@code waxwingquay.resumes}: attempts resumed over a new connection.
 *   <li>{@code waxwingquay.claims} {outcome}: claims by outcome.
 *   <li>{@code waxwingquay.first.token}: time from arrival to the first chunk of a streamed answer.
 * </ul>
 */
public final class EntryMetrics {

    private static final List<String> KINDS = List.of("model", "service");
    private static final List<String> CLAIM_OUTCOMES = List.of(
            "recorded",
            "superseded",
            "outcome_dropped",
            "withdrawn",
            "unknown",
            "did_not_run",
            "replayed",
            "in_progress",
            "table_out");

    private final MeterRegistry registry;
    private final Timer firstToken;

    /**
     * Registers the metrics in a registry.
     *
     * @param registry the registry.
     */
    public EntryMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.firstToken = Timer.builder("waxwingquay.first.token")
                .publishPercentiles(0.5, 0.95, 0.99)
                .register(registry);
        registerAll();
    }

    /** Registers all counters with the value 0: a rate does not include the event at which a counter first appears. */
    private void registerAll() {
        for (String kind : KINDS) {
            requests(kind, "answered");
            attainment(kind, true);
            attainment(kind, false);
        }
        CLAIM_OUTCOMES.forEach(this::claims);
        for (FailureCode code : FailureCode.values()) {
            refusals(code.code(), Execution.DID_NOT_RUN);
        }
        for (RefusalReason reason : RefusalReason.values()) {
            retries(reason.name());
        }
        registry.counter("waxwingquay.resumes");
    }

    void answered(String kind, boolean inTime) {
        requests(kind, "answered").increment();
        attainment(kind, inTime).increment();
    }

    void failed(String kind, CallFailure failure) {
        String code = failure.code().code();
        requests(kind, code).increment();
        refusals(code, failure.execution()).increment();
        attainment(kind, false).increment();
    }

    void retried(String reason) {
        retries(reason).increment();
    }

    void resumed() {
        registry.counter("waxwingquay.resumes").increment();
    }

    void claim(String outcome) {
        claims(outcome).increment();
    }

    void firstToken(long tookMillis) {
        firstToken.record(tookMillis, TimeUnit.MILLISECONDS);
    }

    private Counter requests(String kind, String outcome) {
        return registry.counter("waxwingquay.requests", "kind", kind, "outcome", outcome);
    }

    private Counter attainment(String kind, boolean met) {
        return registry.counter("waxwingquay.attainment", "kind", kind, "met", Boolean.toString(met));
    }

    private Counter refusals(String reason, Execution execution) {
        return registry.counter("waxwingquay.refusals", "reason", reason, "execution", execution.name());
    }

    private Counter retries(String reason) {
        return registry.counter("waxwingquay.retries", "reason", reason);
    }

    private Counter claims(String outcome) {
        return registry.counter("waxwingquay.claims", "outcome", outcome);
    }
}
