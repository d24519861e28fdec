package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.suspect.SharedSuspects;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SuspicionTest {

    private static final long POISON = 7;
    private static final long INNOCENT = 8;

    private long nowMillis = 1_000;
    private final SuspectTracker suspects =
            new SuspectTracker(new SharedSuspects(() -> nowMillis, new Random(3)), () -> nowMillis, () -> {});
    private final Target a = target("a");
    private final Target b = target("b");
    private final Target c = target("c");

    @Test
    void twoReplicasThatWentAreEnoughWhoeverSendsIt() {
        of(POISON).broke(a);
        assertFalse(of(POISON).isRefused());
        of(POISON).broke(b);
        assertTrue(of(POISON).isRefused());
        assertFalse(of(INNOCENT).isRefused());
    }

    // Of two connections to one replica both break when it goes. That is one crash.
    @Test
    void oneReplicaThatWentTwiceOverIsNotEnough() {
        of(POISON).broke(a);
        of(POISON).broke(a);
        assertFalse(of(POISON).isRefused());
    }

    // A request is there by chance when a replica goes, is sent again and answered. It is free, here and for later.
    @Test
    void oneThatIsAnsweredGoesFree() {
        Suspicion innocent = of(INNOCENT);
        innocent.broke(a);
        innocent.answered(b, nowMillis);
        of(INNOCENT).broke(c);
        assertFalse(of(INNOCENT).isRefused());
    }

    // A stream's answer has begun when its replica goes, and goes on elsewhere, where that replica goes too. A
    // request that ends replicas as it begins to run would never have got an event.
    @Test
    void oneWhoseAnswerHasBegunIsNoSuspect() {
        Suspicion stream = of(INNOCENT);
        stream.answered(a, nowMillis);
        stream.broke(a);
        stream.broke(b);
        assertFalse(stream.isRefused());
        assertFalse(of(INNOCENT).isRefused());
    }

    // Two requests were at the first crash. Sent on together, both would be at the second one; apart, one is answered.
    @Test
    void suspectGoesWhereNoOtherOneRuns() {
        Suspicion poison = suspect(POISON, a);
        Suspicion innocent = suspect(INNOCENT, a);
        poison.sent(b);
        assertEquals(new Choice.Send(c), choose(innocent, a));
    }

    @Test
    void suspectWaitsForTheOtherToEndAndThenGoes() {
        Suspicion poison = suspect(POISON, a);
        Suspicion innocent = suspect(INNOCENT, a);
        poison.sent(b);
        poison.sent(c);
        suspects.began(b);
        assertInstanceOf(Choice.Apart.class, choose(innocent, a));
        poison.ended();
        assertEquals(new Choice.Send(c), choose(innocent, a));
    }

    // The other one takes long. The caller's time runs, so the wait has an end.
    @Test
    void suspectThatHasWaitedGoesBesideTheOther() {
        Suspicion poison = suspect(POISON, a);
        Suspicion innocent = suspect(INNOCENT, a);
        poison.sent(b);
        assertInstanceOf(Choice.Apart.class, choose(innocent, a, c));
        nowMillis += 239;
        assertInstanceOf(Choice.Apart.class, choose(innocent, a, c));
        nowMillis += 1;
        assertEquals(new Choice.Send(b), choose(innocent, a, c));
    }

    @Test
    void othersGoWhereTheyLike() {
        suspect(POISON, a).sent(b);
        assertEquals(new Choice.Send(b), choose(of(INNOCENT), a));
    }

    // A replica with too many connections resets one and lives on, as its other answers show. Were that taken for a
    // crash, a request that meets two crowded replicas would be refused for good.
    @Test
    void breakThatTheReplicaOutlivedCountsNoMore() {
        Suspicion before = of(INNOCENT);
        long sentMillis = nowMillis;
        nowMillis += 10;
        of(POISON).broke(a);
        of(POISON).broke(b);
        assertTrue(of(POISON).isRefused());
        nowMillis += 101;
        before.answered(a, sentMillis);
        assertFalse(of(POISON).isRefused());
    }

    // The answer of what was sent after the break may come from the replica's next life, and one that is read right
    // after it may have left before the crash. Neither shows that the replica lived on.
    @Test
    void laterSendsAndAnswersOfTheSameInstantDisproveNothing() {
        long sentMillis = nowMillis;
        nowMillis += 10;
        of(POISON).broke(a);
        of(POISON).broke(b);
        nowMillis += 100;
        of(INNOCENT).answered(a, sentMillis);
        nowMillis += 1_000;
        of(INNOCENT).answered(a, sentMillis + 10);
        assertTrue(of(POISON).isRefused());
    }

    // Forty requests run at each of five replicas when one of them begins to end replicas, and its caller sends it
    // again whenever it fails. Whatever the order in which the others are sent on, two replicas go, and nobody else
    // is refused.
    @Test
    void oneAmongManyIsFoundWithTwoReplicasAndNoneBesideItIsRefused() {
        Random random = new Random(17);
        for (int round = 0; round < 50; round++) {
            suspects.shared().answered(POISON);
            nowMillis += 700_000;
            suspects.shared().page();
            List<Target> fleet = new ArrayList<>();
            for (int number = 0; number < 5; number++) {
                fleet.add(target("r" + round + "-" + number));
            }
            assertEquals(2, crashes(fleet, random));
        }
    }

    private int crashes(List<Target> fleet, Random random) {
        List<Suspicion> bystanders = new ArrayList<>();
        List<Suspicion> again = new ArrayList<>();
        Target first = fleet.get(random.nextInt(fleet.size()));
        for (long number = 0; number < 40; number++) {
            Suspicion bystander = of(1_000 + number);
            bystander.broke(first);
            bystanders.add(bystander);
        }
        of(POISON).broke(first);
        int crashes = 1;
        again.addAll(bystanders);
        Suspicion poison = of(POISON);
        again.add(random.nextInt(again.size() + 1), poison);
        while (!again.isEmpty()) {
            List<Suspicion> sent = new ArrayList<>();
            List<Target> at = new ArrayList<>();
            for (Suspicion each : again) {
                if (!each.isRefused() && choose(each, fleet, first, random) instanceof Choice.Send send) {
                    each.sent(send.target());
                    sent.add(each);
                    at.add(send.target());
                }
            }
            again.removeAll(sent);
            again.removeIf(Suspicion::isRefused);
            int where = sent.indexOf(poison);
            if (where >= 0) {
                crashes++;
                assertEquals(1, at.stream().filter(at.get(where)::equals).count());
                poison.ended();
                poison.broke(at.get(where));
            }
            nowMillis += 20;
            for (int number = 0; number < sent.size(); number++) {
                if (number != where) {
                    sent.get(number).ended();
                    sent.get(number).answered(at.get(number), nowMillis - 20);
                }
            }
        }
        assertTrue(of(POISON).isRefused());
        for (long number = 0; number < 40; number++) {
            assertFalse(of(1_000 + number).isRefused());
        }
        return crashes;
    }

    private Choice choose(Suspicion suspicion, List<Target> fleet, Target without, Random random) {
        return suspicion.choose(Set.of(without), tried -> {
            List<Target> open =
                    fleet.stream().filter(each -> !tried.contains(each)).toList();
            return open.isEmpty() ? new Choice.Nowhere() : new Choice.Send(open.get(random.nextInt(open.size())));
        });
    }

    private Choice choose(Suspicion suspicion, Target... tried) {
        Set<Target> all = new HashSet<>(List.of(tried));
        return suspicion.choose(all, without -> List.of(a, b, c).stream()
                .filter(each -> !without.contains(each))
                .findFirst()
                .<Choice>map(Choice.Send::new)
                .orElseGet(Choice.Nowhere::new));
    }

    private Suspicion suspect(long fingerprint, Target where) {
        Suspicion suspicion = of(fingerprint);
        suspicion.broke(where);
        return suspicion;
    }

    private Suspicion of(long fingerprint) {
        return new Suspicion(suspects, () -> fingerprint);
    }

    private static Target target(String id) {
        ReplicaRecord record = new ReplicaRecord(
                id, 1, "plain", new HostPort("10.0.0.1", 80), "z", 4, false, OptionalLong.empty(), List.of());
        return new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 1));
    }
}
