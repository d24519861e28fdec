package io.waxwingquay.forward;

import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.manifest.Engine;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;

/** What a request uses of the entry that received it. */
interface ForwardContext {

    MessageCodec codec();

    ForwardMetrics metrics();

    TargetChooser chooser();

    AdapterRequester adapterRequester();

    SlotRequester slotRequester();

    CallerAge callerAge();

    DemandMeter demandMeter();

    WaitQueues waitQueues();

    Gatekeeper gatekeeper();

    /** Returns the number of entries, this one included. */
    int entryCount();

    Collection<Target> targets(String service);

    Optional<Engine> engine(String service);

    RetryBudget budget(String service);

    /** Returns a number from 0 up to 1 that is always the same for the same text. */
    double stableUniform(String text);

    /** Adds jitter of up to half the time, so that callers rejected together don't retry together. */
    long jitter(long millis);

    /** Has the deadlines of requests checked after this delay, if no check is due before. */
    void checkIn(long delayMillis);

    /** Notes a request for a model that no engine holds; the side processes of engines are updated soon. */
    void modelMissed();

    /** Notes that another replica answered, or that the replica lacks what was requested. */
    void misdirected(Target target, MessageCodec.RequestHead request, MessageCodec.ResponseHead response);

    /**
     * Notes the requests per second that a replica accepts from all entries together, or that it announced no limit.
     */
    void rateLimitAnnounced(Target target, OptionalDouble perSecond);

    /**
     * Notes that a replica sent the first event of a stream, before that event goes to the caller.
     *
     * @param softwareVersion the version at which the stream began; empty if it is unknown.
     */
    void streamBegan(MessageCodec.RequestHead head, Target target, Optional<String> softwareVersion);

    /** Asks a replica which incarnation it is, if that is not known. */
    void confirmIncarnation(Target target);

    /** Asks the same, and runs a task once the replica has answered or given no answer. */
    void confirmIncarnationThen(Target target, Runnable task);

    void ended(Exchange exchange, Outcome outcome);
}
