package io.waxwingquay.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Entries that keep one quota together, over loss, restarts, cuts and accounts that ask for far more than they may. */
class SharedQuotaTest {

    private static final long UNITS = 900;
    private static final double LOSS = 0.02;
    private static final double MAX_REFUSED_SHARE = 0.02;

    // An account asks for four times its quota through all entries, and then all processes start again at the height
    // of it. Guards against a burst that each entry, or each start, hands out anew.
    @ParameterizedTest
    @CsvSource({"25, 158000, 1", "25, 1900, 2", "25, 20000, 3", "320, 158000, 4", "320, 1900, 5", "320, 20000, 6"})
    void hotAccountStaysWithinItsQuotaOverARestartOfAll(int entries, double perSecond, long seed) {
        QuotaSimulation simulation = simulation(entries, perSecond, seed);
        simulation.demand(5_000, 0.5, entries, UNITS).demand(15_000, 4, entries, UNITS);
        simulation.restartAll(1_000).demand(30_000, 4, entries, UNITS);
        assertEquals(0.0, Math.max(0, simulation.maxExcess()), "units beyond the bound");
    }

    // A third of the entries is cut off from the processes that add up the spending, while an account asks for four
    // times its quota. Guards against entries that spend a full part each beside the others, who spend all of it.
    @ParameterizedTest
    @CsvSource({"25, 158000, 1", "25, 1900, 2", "25, 20000, 3", "320, 158000, 4", "320, 20000, 5"})
    void entriesThatAreCutOffSpendWithinTheTolerance(int entries, double perSecond, long seed) {
        QuotaSimulation simulation = simulation(entries, perSecond, seed);
        simulation.demand(5_000, 0.5, entries, UNITS).cut(entries / 3).demand(30_000, 4, entries, UNITS);
        assertEquals(0.0, Math.max(0, simulation.maxExcess()), "units beyond the bound");
    }

    // An account asks for two thirds of its quota, through a few entries and then through all. Guards against refusals
    // of what the quota permits, because other entries hold a part of it that nobody asks for.
    @ParameterizedTest
    @CsvSource({"25, 158000, 1", "25, 1900, 2", "25, 20000, 3", "320, 158000, 4", "320, 1900, 5", "320, 20000, 6"})
    void whatTheQuotaPermitsIsNotRefused(int entries, double perSecond, long seed) {
        QuotaSimulation simulation = simulation(entries, perSecond, seed);
        simulation.demand(10_000, 0.66, 3, UNITS).demand(40_000, 0.66, entries, UNITS);
        assertTrue(simulation.refusedShare() <= MAX_REFUSED_SHARE, "refused " + simulation.refusedShare());
    }

    // The same load under each way of keeping a quota. Guards against going back to parts, which refuse a good share of
    // what the quota permits.
    @ParameterizedTest
    @CsvSource({"25, 158000", "25, 20000", "25, 1900", "320, 158000", "320, 20000", "320, 1900"})
    void sharedTallyRefusesLessThanParts(int entries, double perSecond) {
        double equalParts = refusedShare(entries, perSecond, QuotaSimulation.Kind.EQUAL_PARTS);
        double demandParts = refusedShare(entries, perSecond, QuotaSimulation.Kind.DEMAND_PARTS);
        double sharedTally = refusedShare(entries, perSecond, QuotaSimulation.Kind.SHARED_TALLY);
        String figures = "equal " + equalParts + ", by demand " + demandParts + ", shared " + sharedTally;
        assertTrue(sharedTally < Math.min(equalParts, demandParts), figures);
    }

    private static double refusedShare(int entries, double perSecond, QuotaSimulation.Kind kind) {
        QuotaSimulation simulation = simulation(entries, perSecond, kind, 1);
        return simulation
                .demand(10_000, 0.66, 3, UNITS)
                .demand(40_000, 0.66, entries, UNITS)
                .refusedShare();
    }

    private static QuotaSimulation simulation(int entries, double perSecond, long seed) {
        return simulation(entries, perSecond, QuotaSimulation.Kind.SHARED_TALLY, seed);
    }

    private static QuotaSimulation simulation(int entries, double perSecond, QuotaSimulation.Kind kind, long seed) {
        Quota quota = new Quota(perSecond, perSecond, Quota.Unit.TOKENS, 200);
        return new QuotaSimulation(entries, quota, kind, LOSS, seed);
    }
}
