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
    private static final long HARMLESS = 8;

    private long nowMillis = 1_000;
    private final SuspectTracker tracker =
            new SuspectTracker(new SharedSuspects(() -> nowMillis, new Random(3)), () -> nowMillis, () -> {});
    private final Target a = target("a");
    private final Target b = target("b");
    private final Target c = target("c");

    @Test
    void crashesOfTwoReplicasQuarantineARequestForEveryCaller() {
        suspicionOf(POISON).connectionBroke(a);
        assertFalse(suspicionOf(POISON).isQuarantined());
        suspicionOf(POISON).connectionBroke(b);
        assertTrue(suspicionOf(POISON).isQuarantined());
        assertFalse(suspicionOf(HARMLESS).isQuarantined());
    }

    // Guards against counting one crash twice: both of two connections to a replica break when it crashes.
    @Test
    void twoBrokenConnectionsToOneReplicaCountAsOneCrash() {
        suspicionOf(POISON).connectionBroke(a);
        suspicionOf(POISON).connectionBroke(a);
        assertFalse(suspicionOf(POISON).isQuarantined());
    }

    // Guards against blaming a request that ran by chance on a replica that crashed: once it is answered on another, it
    // is clear for good.
    @Test
    void answeredRequestIsCleared() {
        Suspicion harmless = suspicionOf(HARMLESS);
        harmless.connectionBroke(a);
        harmless.answered(b, nowMillis);
        suspicionOf(HARMLESS).connectionBroke(c);
        assertFalse(suspicionOf(HARMLESS).isQuarantined());
    }

    // Guards against blaming a stream whose response had begun when its replica crashed, and whose next replica crashes
    // too. A request that crashes replicas as it begins to run would never have received an event.
    @Test
    void requestWhoseAnswerHasBegunIsNoSuspect() {
        Suspicion stream = suspicionOf(HARMLESS);
        stream.answered(a, nowMillis);
        stream.connectionBroke(a);
        stream.connectionBroke(b);
        assertFalse(stream.isQuarantined());
        assertFalse(suspicionOf(HARMLESS).isQuarantined());
    }

    // Guards against a second crash that two requests of the first share: if sent on together, both would be blamed for
    // it; if isolated, one of them is answered.
    @Test
    void suspectIsSentToAReplicaWithoutAnotherSuspect() {
        Suspicion poison = suspect(POISON, a);
        Suspicion harmless = suspect(HARMLESS, a);
        poison.sent(b);
        assertEquals(new Choice.Send(c), choose(harmless, a));
    }

    @Test
    void suspectWaitsUntilTheOtherSuspectHasEnded() {
        Suspicion poison = suspect(POISON, a);
        Suspicion harmless = suspect(HARMLESS, a);
        poison.sent(b);
        poison.sent(c);
        tracker.suspectStarted(b);
        assertInstanceOf(Choice.AwaitIsolation.class, choose(harmless, a));
        poison.ended();
        assertEquals(new Choice.Send(c), choose(harmless, a));
    }

    // Guards against two suspects that crash a replica together because one of them asks for a slot before it is sent.
    @Test
    void suspectAsksForASlotOnlyWhereItWouldBeIsolated() {
        Suspicion poison = suspect(POISON, a);
        Suspicion harmless = suspect(HARMLESS, a);
        poison.sent(b);
        assertEquals(new Choice.Reserve(c), harmless.choose(Set.of(a), this::reserveFirst));
        assertInstanceOf(Choice.AwaitIsolation.class, harmless.choose(Set.of(a, c), this::reserveFirst));
    }

    // Guards against a wait that outlasts the caller when the other suspect runs for long.
    @Test
    void suspectSharesAReplicaAfterTheIsolationWait() {
        Suspicion poison = suspect(POISON, a);
        Suspicion harmless = suspect(HARMLESS, a);
        poison.sent(b);
        assertInstanceOf(Choice.AwaitIsolation.class, choose(harmless, a, c));
        nowMillis += 239;
        assertInstanceOf(Choice.AwaitIsolation.class, choose(harmless, a, c));
        nowMillis += 1;
        assertEquals(new Choice.Send(b), choose(harmless, a, c));
    }

    @Test
    void otherRequestsAreNotIsolated() {
        suspect(POISON, a).sent(b);
        assertEquals(new Choice.Send(b), choose(suspicionOf(HARMLESS), a));
    }

    // Guards against quarantining a request that meets two overloaded replicas, which reset a connection without
    // crashing, as their other responses show.
    @Test
    void breakThatTheReplicaSurvivedIsDiscounted() {
        Suspicion before = suspicionOf(HARMLESS);
        long sentMillis = nowMillis;
        nowMillis += 10;
        suspicionOf(POISON).connectionBroke(a);
        suspicionOf(POISON).connectionBroke(b);
        assertTrue(suspicionOf(POISON).isQuarantined());
        nowMillis += 101;
        before.answered(a, sentMillis);
        assertFalse(suspicionOf(POISON).isQuarantined());
    }

    // Guards against refusing a sound prompt part because of replicas that reset connections and live, as their other
    // responses show.
    @Test
    void breakThatTheReplicaSurvivedIsDiscountedForPromptPartsToo() {
        Suspicion before = suspicionOf(HARMLESS);
        long sentMillis = nowMillis;
        for (Target target : List.of(a, b, c)) {
            nowMillis += 10;
            Suspicion broken = withParts(nowMillis, "shared");
            broken.sent(target);
            broken.connectionBroke(target);
        }
        assertTrue(withParts(1, "shared").isQuarantined());
        nowMillis += 101;
        before.answered(b, sentMillis);
        assertFalse(withParts(1, "shared").isQuarantined());
    }

    // Guards against clearing a real crash: the response to a request sent after the break may come from the next
    // incarnation, and one that is read right after the break may have been sent before the crash. Neither shows that
    // the replica survived.
    @Test
    void laterSendsAndAnswersInFlightDoNotDisproveACrash() {
        long sentMillis = nowMillis;
        nowMillis += 10;
        suspicionOf(POISON).connectionBroke(a);
        suspicionOf(POISON).connectionBroke(b);
        nowMillis += 100;
        suspicionOf(HARMLESS).answered(a, sentMillis);
        nowMillis += 1_000;
        suspicionOf(HARMLESS).answered(a, sentMillis + 10);
        assertTrue(suspicionOf(POISON).isQuarantined());
    }

    // Guards against quarantining bystanders. Forty requests run on each of five replicas when one of them begins to
    // crash replicas, and its caller resends it at each failure. In whatever order the others are resent, two replicas
    // crash, and no other request is rejected.
    @Test
    void crashingRequestIsFoundAfterTwoCrashesAndNoOtherIsQuarantined() {
        Random random = new Random(17);
        for (int round = 0; round < 50; round++) {
            tracker.shared().recordSuccess(POISON);
            nowMillis += 700_000;
            tracker.shared().nextUpdate();
            List<Target> fleet = new ArrayList<>();
            for (int number = 0; number < 5; number++) {
                fleet.add(target("r" + round + "-" + number));
            }
            assertEquals(2, crashesUntilQuarantine(fleet, random));
        }
    }

    // Guards against replicas that crash under requests which share one prompt part and differ in all else, and against
    // blaming the parts that sound requests beside them share: the first one, or one of few requests.
    @Test
    void partThatCrashesReplicasIsFoundAndNoOtherPartIsQuarantined() {
        Random random = new Random(23);
        int crashes = 0;
        for (int round = 0; round < 60; round++) {
            Target target = target("r" + round);
            Suspicion poison = withParts(round, "first", "bad0");
            if (poison.isQuarantined()) {
                continue;
            }
            List<Suspicion> bystanders = new ArrayList<>();
            for (int number = 0; number < 12; number++) {
                bystanders.add(withParts(1_000 + 100 * round + number, "first", "shared" + random.nextInt(30)));
            }
            bystanders.removeIf(Suspicion::isQuarantined);
            assertEquals(12, bystanders.size());
            poison.sent(target);
            bystanders.forEach(each -> each.sent(target));
            crashes++;
            poison.ended();
            poison.connectionBroke(target);
            bystanders.forEach(Suspicion::ended);
            bystanders.forEach(each -> each.connectionBroke(target));
            nowMillis += 80;
            bystanders.forEach(each -> each.answered(a, nowMillis));
        }
        assertEquals(3, crashes);
        assertEquals(1, tracker.shared().promptParts().countQuarantined());
        assertTrue(withParts(1, "other", "bad0").quarantineReason().endsWith("prompt part bad0"));
    }

    private Suspicion withParts(long fingerprint, String... parts) {
        return new Suspicion(tracker, RequestFingerprints.of("r", fingerprint, List.of(parts)));
    }

    private int crashesUntilQuarantine(List<Target> fleet, Random random) {
        List<Suspicion> bystanders = new ArrayList<>();
        List<Suspicion> pending = new ArrayList<>();
        Target first = fleet.get(random.nextInt(fleet.size()));
        for (long number = 0; number < 40; number++) {
            Suspicion bystander = suspicionOf(1_000 + number);
            bystander.connectionBroke(first);
            bystanders.add(bystander);
        }
        suspicionOf(POISON).connectionBroke(first);
        int crashes = 1;
        pending.addAll(bystanders);
        Suspicion poison = suspicionOf(POISON);
        pending.add(random.nextInt(pending.size() + 1), poison);
        while (!pending.isEmpty()) {
            List<Suspicion> sent = new ArrayList<>();
            List<Target> targets = new ArrayList<>();
            for (Suspicion each : pending) {
                if (!each.isQuarantined() && choose(each, fleet, first, random) instanceof Choice.Send send) {
                    each.sent(send.target());
                    sent.add(each);
                    targets.add(send.target());
                }
            }
            pending.removeAll(sent);
            pending.removeIf(Suspicion::isQuarantined);
            int poisonIndex = sent.indexOf(poison);
            if (poisonIndex >= 0) {
                crashes++;
                assertEquals(
                        1,
                        targets.stream()
                                .filter(targets.get(poisonIndex)::equals)
                                .count());
                poison.ended();
                poison.connectionBroke(targets.get(poisonIndex));
            }
            nowMillis += 20;
            for (int number = 0; number < sent.size(); number++) {
                if (number != poisonIndex) {
                    sent.get(number).ended();
                    sent.get(number).answered(targets.get(number), nowMillis - 20);
                }
            }
        }
        assertTrue(suspicionOf(POISON).isQuarantined());
        for (long number = 0; number < 40; number++) {
            assertFalse(suspicionOf(1_000 + number).isQuarantined());
        }
        return crashes;
    }

    private Choice choose(Suspicion suspicion, List<Target> fleet, Target excluded, Random random) {
        return suspicion.choose(Set.of(excluded), tried -> {
            List<Target> available =
                    fleet.stream().filter(each -> !tried.contains(each)).toList();
            return available.isEmpty()
                    ? new Choice.NoReplica()
                    : new Choice.Send(available.get(random.nextInt(available.size())));
        });
    }

    private Choice choose(Suspicion suspicion, Target... tried) {
        Set<Target> all = new HashSet<>(List.of(tried));
        return suspicion.choose(all, excluded -> List.of(a, b, c).stream()
                .filter(each -> !excluded.contains(each))
                .findFirst()
                .<Choice>map(Choice.Send::new)
                .orElseGet(Choice.NoReplica::new));
    }

    private Choice reserveFirst(Set<Target> excluded) {
        return List.of(a, b, c).stream()
                .filter(each -> !excluded.contains(each))
                .findFirst()
                .<Choice>map(Choice.Reserve::new)
                .orElseGet(Choice.NoReplica::new);
    }

    private Suspicion suspect(long fingerprint, Target crashed) {
        Suspicion suspicion = suspicionOf(fingerprint);
        suspicion.connectionBroke(crashed);
        return suspicion;
    }

    private Suspicion suspicionOf(long fingerprint) {
        return new Suspicion(tracker, RequestFingerprints.of("r", fingerprint, List.of()));
    }

    private static Target target(String id) {
        ReplicaRecord record = new ReplicaRecord(
                id, 1, "plain", "v1", new HostPort("10.0.0.1", 80), "z", 4, false, OptionalLong.empty(), List.of());
        return new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 1));
    }
}
