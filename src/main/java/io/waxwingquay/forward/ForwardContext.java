package io.waxwingquay.forward;

import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.manifest.Engine;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;

/** What a request needs of the entry that it came to. */
interface ForwardContext {

    MessageCodec codec();

    TargetChooser chooser();

    AdapterRequester adapterRequester();

    DemandMeter demandMeter();

    WaitQueues waitQueues();

    /** How many entries there are, this one among them. */
    int entryCount();

    Collection<Target> targets(String service);

    Optional<Engine> engine(String service);

    RetryBudget budget(String service);

    /** A number from 0 up to 1 that a text always gets. */
    double stableUniform(String text);

    /** A time and up to half more, so that those refused together do not come back together. */
    long jitter(long millis);

    /** A request asked for a model that no engine holds; the processes beside engines are told soon. */
    void modelMissed();

    /** A replica said that it is another one, or lacks what was asked for. */
    void misdirected(Target target, MessageCodec.RequestHead request, MessageCodec.ResponseHead response);

    /** A replica named how many requests a second it takes from all entries together, or named no limit. */
    void rateLimitAnnounced(Target target, OptionalDouble perSecond);

    void ended(Exchange exchange, Outcome outcome);
}
