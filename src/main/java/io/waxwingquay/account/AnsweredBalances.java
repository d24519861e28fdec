package io.waxwingquay.account;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.AccountBalance;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What the processes that add up the spending of one account have answered last. One that leaves reports unanswered for
 * some time no longer counts, until it answers again.
 */
final class AnsweredBalances {

    /** Time without an answer to a report after which a process no longer counts. */
    private static final long UNANSWERED_MILLIS = 400L;

    /** How long the rate at which others spent is taken to go on; a burst of theirs may be over by then. */
    private static final double MAX_ESTIMATE_SECONDS = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<HostPort, Answer> answers = new HashMap<>();

    /** Notes a report to some of the processes that this account has now; the answers of all others are dropped. */
    void reported(Collection<HostPort> receivers, Collection<HostPort> processes, long nowMillis) {
        answers.keySet().retainAll(processes);
        receivers.forEach(receiver ->
                answers.computeIfAbsent(receiver, name -> new Answer()).reported(nowMillis));
    }

    /** Takes an answer; returns whether it is newer than the last of that process. */
    boolean answered(HostPort process, long number, AccountBalance balance, long nowMillis) {
        Answer answer = answers.get(process);
        return answer != null && answer.answered(number, balance, nowMillis);
    }

    /** Returns whether a process may still answer a report in time. */
    boolean isAnswerExpected(long nowMillis) {
        return answers.values().stream().anyMatch(answer -> !answer.isOverdue(nowMillis));
    }

    /** Returns whether a process has left reports unanswered for so long that another one should be asked. */
    boolean isUnresponsive(HostPort process, long nowMillis) {
        Answer answer = answers.get(process);
        return answer != null && answer.isOverdue(nowMillis);
    }

    /**
     * Estimates what is left now, after what this entry has spent: the lowest of what was answered, since a process that
     * lacks reports knows a higher one. Empty if no process counts.
     */
    OptionalDouble balance(Quota quota, long spentUnits, long nowMillis) {
        return usable(nowMillis)
                .mapToDouble(answer -> answer.balance(quota, spentUnits, nowMillis))
                .min();
    }

    /** Returns the age of the newest answer. */
    long ageMillis(long nowMillis) {
        return usable(nowMillis)
                .mapToLong(answer -> answer.ageMillis(nowMillis))
                .min()
                .orElse(Long.MAX_VALUE);
    }

    double othersPerSecond(long nowMillis) {
        return usable(nowMillis)
                .mapToDouble(answer -> answer.othersPerSecond)
                .max()
                .orElse(0);
    }

    /** Returns the processes that count, each with the age of its answer. */
    String describe(long nowMillis) {
        return answers.entrySet().stream()
                .filter(entry -> entry.getValue().isUsable(nowMillis))
                .map(entry -> entry.getKey() + ":" + entry.getValue().ageMillis(nowMillis) + "ms")
                .collect(Collectors.joining(","));
    }

    private Stream<Answer> usable(long nowMillis) {
        return answers.values().stream().filter(answer -> answer.isUsable(nowMillis));
    }

    /** The last answer of one process. */
    private static final class Answer {

        private long number = Long.MIN_VALUE;
        private long spentUnits;
        private double balanceUnits;
        private double othersPerSecond;
        private long answeredMillis;
        private long unansweredSinceMillis = Long.MAX_VALUE;

        void reported(long nowMillis) {
            unansweredSinceMillis = Math.min(unansweredSinceMillis, nowMillis);
        }

        /** Takes an answer; returns whether it is newer than the last. */
        boolean answered(long newerNumber, AccountBalance balance, long nowMillis) {
            if (newerNumber <= number) {
                return false;
            }
            number = newerNumber;
            spentUnits = balance.getSpentUnits();
            balanceUnits = balance.getBalanceUnits();
            othersPerSecond = balance.getOthersPerSecond();
            answeredMillis = nowMillis;
            unansweredSinceMillis = Long.MAX_VALUE;
            return true;
        }

        boolean isOverdue(long nowMillis) {
            return unansweredSinceMillis != Long.MAX_VALUE && nowMillis - unansweredSinceMillis > UNANSWERED_MILLIS;
        }

        boolean isUsable(long nowMillis) {
            return number != Long.MIN_VALUE && !isOverdue(nowMillis);
        }

        long ageMillis(long nowMillis) {
            return nowMillis - answeredMillis;
        }

        double balance(Quota quota, long ownSpentUnits, long nowMillis) {
            double seconds = ageMillis(nowMillis) / MILLIS_PER_SECOND;
            double others = othersPerSecond * Math.min(seconds, MAX_ESTIMATE_SECONDS);
            double earned = quota.perSecond() * seconds - others;
            return Math.min(quota.burst(), balanceUnits + earned) - (ownSpentUnits - spentUnits);
        }
    }
}
