package io.waxwingquay.reservation;

import static io.waxwingquay.reservation.SlotBookFixture.LIVE;
import static io.waxwingquay.reservation.SlotBookFixture.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class GrantsTest {

    private final Grants grants = new Grants();

    // Guards against a request that counts twice, by its lease and by the report.
    @Test
    void leaseEndsOnceTheReportShowsTheRequest() {
        grants.grant(request(1, LIVE), 0);
        grants.grant(request(2, LIVE), 0);
        assertEquals(List.of(request(1, LIVE)), grants.observe(Set.of("a1", "other"), 0, 0));
        assertEquals(1, grants.unreported());
        assertFalse(grants.isLeased(request(1, LIVE).key()));
    }

    // Guards against more requests taken for queued than the report counts, and against those of an earlier report.
    @Test
    void leasesCountAgainOnceTheReportShowsNoQueue() {
        grants.grant(request(1, LIVE), 0);
        grants.grant(request(2, LIVE), 0);
        grants.observe(Set.of(), 1, Grants.TRANSIT_MILLIS);
        assertEquals(1, grants.unreported());
        grants.observe(Set.of(), 0, Grants.TRANSIT_MILLIS);
        assertEquals(2, grants.unreported());
    }

    // Guards against slots of entries that are gone, and against leases that end early.
    @Test
    void leasesExpireInTheOrderOfTheirStart() {
        grants.grant(request(1, LIVE), 0);
        grants.grant(request(2, LIVE), 100);
        grants.expire(Grants.LEASE_MILLIS - 1);
        assertEquals(2, grants.unreported());
        grants.expire(Grants.LEASE_MILLIS);
        assertEquals(1, grants.unreported());
    }
}
