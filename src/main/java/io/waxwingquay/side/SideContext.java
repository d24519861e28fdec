package io.waxwingquay.side;

import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.Clock;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.Connections;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

/**
 * What every part of a side process works with.
 *
 * @param identity who this side is.
 * @param limits its bounds.
 * @param clock the time.
 * @param random the source of jitter and identifiers.
 * @param bundles the bundle in force.
 * @param membership the other sides.
 * @param suspects the shared record of crashes.
 * @param connections connections to other sides.
 * @param meters where counts go.
 * @param scheduler runs what has to happen later.
 */
record SideContext(
        SideIdentity identity,
        SideLimits limits,
        Clock clock,
        RandomGenerator random,
        BundleSource bundles,
        Membership membership,
        SuspectRegistry suspects,
        Connections connections,
        MeterRegistry meters,
        ScheduledExecutorService scheduler) {

    Optional<Bundle.Service> service() {
        return bundles.current().flatMap(bundle -> bundle.service(identity.serviceName()));
    }

    void count(String name, String tag, String value) {
        meters.counter(name, tag, value).increment();
    }
}
