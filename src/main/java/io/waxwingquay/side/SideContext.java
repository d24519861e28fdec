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
 * The dependencies that the components of a side process share.
 *
 * @param identity the identity of this side.
 * @param limits the limits of this side.
 * @param clock the clock.
 * @param random the source of jitter and identifiers.
 * @param bundles the source of the bundle in force.
 * @param membership the known sides.
 * @param suspects the shared record of crashes and suspects.
 * @param connections the connections to other sides.
 * @param meters the registry of metrics.
 * @param scheduler runs delayed and periodic tasks.
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
