package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;
import io.waxwingquay.origin.OriginFinding;
import io.waxwingquay.origin.StreamName;
import io.waxwingquay.origin.StreamOrigins;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/** Decides where a stream may run that its caller resumes after receiving events from this entry or another one. */
final class StreamContinuation {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final StreamOrigins origins;
    private final ToDoubleFunction<String> stableUniform;
    private final ForwardMetrics metrics;

    /**
     * Creates the decision.
     *
     * @param origins the origins of streams.
     * @param stableUniform maps a text to a number from 0 up to 1, always the same.
     * @param metrics counts the streams by who stated their origins.
     */
    StreamContinuation(StreamOrigins origins, ToDoubleFunction<String> stableUniform, ForwardMetrics metrics) {
        this.origins = origins;
        this.stableUniform = stableUniform;
        this.metrics = metrics;
    }

    /**
     * Decides about a request.
     *
     * @param decision called with the decision, before this method returns or some milliseconds later.
     */
    void check(Route route, MessageCodec.RequestHead head, Consumer<Verdict> decision) {
        if (route.kind() != Route.Kind.STREAM || !head.resumesStream()) {
            decision.accept(new Verdict.MayRun(Optional.empty(), Optional.empty()));
            return;
        }
        String drawn = route.chooseService(stableUniform.applyAsDouble(head.streamId()));
        head.resumedId()
                .ifPresentOrElse(
                        startedBy -> findAmong(candidates(route, drawn), head, startedBy, decision),
                        () -> decision.accept(verdict(head, drawn, origins.findUnnamed(drawn))));
    }

    /** Returns the services that may have begun the stream: the shares of the route may have been others then. */
    private static List<String> candidates(Route route, String drawn) {
        return Stream.concat(Stream.of(drawn), route.services().stream())
                .distinct()
                .toList();
    }

    private void findAmong(
            List<String> services, MessageCodec.RequestHead head, String startedBy, Consumer<Verdict> decision) {
        String service = services.get(0);
        origins.find(new StreamName(service, startedBy), finding -> {
            boolean isLast = services.size() == 1;
            if (finding.softwareVersion().isPresent() || isLast) {
                decision.accept(verdict(head, service, finding));
            } else {
                findAmong(services.subList(1, services.size()), head, startedBy, decision);
            }
        });
    }

    private Verdict verdict(MessageCodec.RequestHead head, String service, OriginFinding finding) {
        String source = finding.source().name().toLowerCase(Locale.ROOT);
        metrics.resumedByCaller(source);
        LOG.log(
                System.Logger.Level.INFO,
                "forward: resumed by caller id={0} started_by={1} service={2} started_at={3} stated_by={4}"
                        + " without_report={5} entry_age_ms={6}",
                head.id(),
                head.resumedId().orElse(""),
                service,
                finding.softwareVersion().orElse("unknown"),
                source,
                finding.negativeReplies(),
                Long.toString(origins.ageMillis()));
        return finding.softwareVersion().isPresent()
                ? new Verdict.MayRun(finding.softwareVersion(), Optional.of(service))
                : new Verdict.OriginUnknown();
    }

    /** The decision about a request. */
    sealed interface Verdict {

        /**
         * It may run.
         *
         * @param softwareVersion the only software version at which it may run; empty if it may run at any.
         * @param service the only service at which it may run; empty if it may run at any of its route.
         */
        record MayRun(Optional<String> softwareVersion, Optional<String> service) implements Verdict {}

        /** The software version that started the stream is unknown. */
        record OriginUnknown() implements Verdict {}
    }
}
