package io.waxwingquay.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;

/**
 * What an entry process counts.
 *
 * <ul>
 *   <li>{@code waxwingquay.requests} {kind, outcome}: finished requests; outcome is {@code answered} or a code
 *       of {@link FailureCode}.
 *   <li>{@code waxwingquay.attainment} {kind, met}: requests answered whole within their deadline, and the others.
 *   <li>{@code waxwingquay.refusals} {reason, execution}: failed requests by code and execution.
 *   <li>{@code waxwingquay.retries} {reason}: attempts after the first.
 *   <li>{@code waxwingquay.resumes}: attempts taken up again over a fresh connection.
 *   <li>{@code waxwingquay.claims} {outcome}: claims by how they ended.
 *   <li>{@code waxwingquay.first.token}: time from arrival to the first piece of a streamed answer.
 * </ul>
 */
public final class EntryMetrics {

    private final MeterRegistry registry;
    private final Timer firstToken;

    /**
     * Counters in a registry.
     *
     * @param registry the registry.
     */
    public EntryMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.firstToken = Timer.builder("waxwingquay.first.token")
                .publishPercentiles(0.5, 0.95, 0.99)
                .register(registry);
    }

    void answered(String kind, boolean inTime) {
        registry.counter("waxwingquay.requests", "kind", kind, "outcome", "answered")
                .increment();
        attainment(kind, inTime);
    }

    void failed(String kind, CallFailure failure) {
        String code = failure.code().code();
        registry.counter("waxwingquay.requests", "kind", kind, "outcome", code).increment();
        registry.counter(
                        "waxwingquay.refusals",
                        "reason",
                        code,
                        "execution",
                        failure.execution().name())
                .increment();
        attainment(kind, false);
    }

    void retried(String reason) {
        registry.counter("waxwingquay.retries", "reason", reason).increment();
    }

    void resumed() {
        registry.counter("waxwingquay.resumes").increment();
    }

    void claim(String outcome) {
        registry.counter("waxwingquay.claims", "outcome", outcome).increment();
    }

    void firstToken(long tookMillis) {
        firstToken.record(tookMillis, TimeUnit.MILLISECONDS);
    }

    private void attainment(String kind, boolean met) {
        registry.counter("waxwingquay.attainment", "kind", kind, "met", Boolean.toString(met))
                .increment();
    }
}
