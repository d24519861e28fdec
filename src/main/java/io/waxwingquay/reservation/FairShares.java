package io.waxwingquay.reservation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Divides the slots of an engine among client accounts by weighted max-min fairness. No account gets more than it holds
 * and requests; what one leaves is divided among the others. Requests without an account count as one account.
 */
final class FairShares {

    private static final double TOLERANCE = 1e-9;

    private final Map<Optional<String>, Use> uses = new HashMap<>();

    /** Counts a slot that an account holds. */
    void addHeld(Optional<String> account, double weight) {
        Use use = use(account, weight);
        use.held++;
        use.demand++;
    }

    /** Counts a slot that an account requests. */
    void addRequested(Optional<String> account, double weight) {
        use(account, weight).demand++;
    }

    private Use use(Optional<String> account, double weight) {
        Use use = uses.computeIfAbsent(account, each -> new Use());
        use.weight = weight;
        return use;
    }

    /** Divides the slots, after all uses have been counted. */
    void divide(int slots) {
        List<Use> byNeed = uses.values().stream()
                .sorted(Comparator.comparingDouble(Use::demandPerWeight))
                .toList();
        double left = slots;
        double weightLeft = byNeed.stream().mapToDouble(use -> use.weight).sum();
        for (Use use : byNeed) {
            use.share = Math.min(use.demand, left * use.weight / weightLeft);
            left -= use.share;
            weightLeft -= use.weight;
        }
    }

    /** Records that one of the requested slots was granted. */
    void granted(Optional<String> account) {
        uses.get(account).held++;
    }

    /** Returns whether an account is below its share with a number of slots more than it holds. */
    boolean isBelow(Optional<String> account, int more) {
        if (uses.size() == 1) {
            return true;
        }
        Use use = uses.get(account);
        return use.held + more < use.share - TOLERANCE;
    }

    /** Returns the number of slots that an account is entitled to. */
    double share(Optional<String> account) {
        return uses.get(account).share;
    }

    private static final class Use {

        private double weight;
        private int held;
        private int demand;
        private double share;

        private double demandPerWeight() {
            return demand / weight;
        }
    }
}
