package io.waxwingquay.pace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;

/**
 * When the engine reads the admitted prompts: one after the other, in the order of their admission, at the rate learned by
 * then. Reports correct this: a stream that has an event shows that its prompt has been read.
 */
final class PromptBacklog {

    /** Time for which prompts are remembered; longer than a planned event and than a prompt usually takes to be read. */
    private static final long RETENTION_MILLIS = 2_000L;

    /** Time after which an admitted request that no report shows has not been sent: the lease of a slot. */
    private static final long LEASE_MILLIS = 250L;

    private Deque<Prompt> prompts = new ArrayDeque<>();
    private double admittedTokens;
    private long admitted;
    private long seen;

    /**
     * Adds a prompt.
     *
     * @param tokens its tokens.
     * @param tokenMillis the time for one of them.
     * @param nowMillis the monotonic time.
     */
    void add(long tokens, double tokenMillis, long nowMillis) {
        double fromMillis = nowMillis + millisUntilIdle(nowMillis);
        admittedTokens += tokens;
        admitted++;
        prompts.add(new Prompt(admitted, tokens, nowMillis, fromMillis, fromMillis + tokens * tokenMillis));
        dropOld(nowMillis);
    }

    /**
     * Notes that streams have their first event, which shows that as many prompts, those admitted first, have been read.
     *
     * @param streams the number of streams.
     * @param nowMillis the monotonic time.
     */
    void confirmRead(long streams, long nowMillis) {
        dropOld(nowMillis);
        seen = Math.min(admitted, seen + streams);
        noteRead(prompt -> prompt.number <= seen, nowMillis);
    }

    /**
     * Notes that no stream waits for its first event: prompts whose lease is over have been read, or were never sent.
     *
     * @param nowMillis the monotonic time.
     */
    void confirmIdle(long nowMillis) {
        noteRead(prompt -> nowMillis - prompt.atMillis > LEASE_MILLIS, nowMillis);
    }

    /** Brings the times forward to the last of the prompts that have been read by now. */
    private void noteRead(Predicate<Prompt> hasBeenRead, long nowMillis) {
        double earlierMillis = prompts.stream()
                .filter(hasBeenRead)
                .mapToDouble(prompt -> prompt.readAtMillis - nowMillis)
                .max()
                .orElse(0);
        if (earlierMillis <= 0) {
            return;
        }
        Deque<Prompt> moved = new ArrayDeque<>();
        prompts.forEach(prompt -> moved.add(prompt.movedForward(earlierMillis, nowMillis)));
        prompts = moved;
    }

    /**
     * Returns the time until all prompts have been read.
     *
     * @param nowMillis the monotonic time.
     * @return the time in milliseconds; 0 if none is left.
     */
    double millisUntilIdle(long nowMillis) {
        return prompts.isEmpty() ? 0 : Math.max(0, prompts.peekLast().readAtMillis - nowMillis);
    }

    /**
     * Returns the time until a prompt may be added so that in no span more than a part of it is spent on prompts.
     *
     * @param promptMillis the time to read the prompt; at most the part.
     * @param partMillis the part of each span.
     * @param spanMillis the length of the spans.
     * @param nowMillis the monotonic time.
     * @return the time in milliseconds; 0 if it may be added now.
     */
    double millisUntilRoom(double promptMillis, double partMillis, double spanMillis, long nowMillis) {
        double spareMillis = partMillis - promptMillis;
        for (Iterator<Prompt> latestFirst = prompts.descendingIterator(); latestFirst.hasNext(); ) {
            Prompt prompt = latestFirst.next();
            if (prompt.lengthMillis() > spareMillis) {
                double startMillis = prompt.readAtMillis - spareMillis + spanMillis - promptMillis;
                return startMillis <= nowMillis + millisUntilIdle(nowMillis) ? 0 : startMillis - nowMillis;
            }
            spareMillis -= prompt.lengthMillis();
        }
        return 0;
    }

    /**
     * Returns the tokens that were read since the start.
     *
     * @param nowMillis the monotonic time.
     * @return the number of tokens.
     */
    double readTokens(long nowMillis) {
        return admittedTokens
                - prompts.stream()
                        .mapToDouble(prompt -> prompt.unreadTokens(nowMillis))
                        .sum();
    }

    /**
     * Returns how many prompts were admitted lately whose streams had no event yet.
     *
     * @param nowMillis the monotonic time.
     * @return the number of prompts.
     */
    int unseenPrompts(long nowMillis) {
        dropOld(nowMillis);
        return (int) (admitted - seen);
    }

    /** Drops prompts that were read long ago; whether their streams were seen no longer matters. */
    private void dropOld(long nowMillis) {
        while (!prompts.isEmpty() && nowMillis - prompts.peek().readAtMillis > RETENTION_MILLIS) {
            seen = Math.max(seen, prompts.remove().number);
        }
    }

    private record Prompt(long number, long tokens, long atMillis, double fromMillis, double readAtMillis) {

        private double lengthMillis() {
            return readAtMillis - fromMillis;
        }

        private double unreadTokens(long nowMillis) {
            double unreadMillis = Math.min(lengthMillis(), readAtMillis - nowMillis);
            return unreadMillis <= 0 ? 0 : tokens * unreadMillis / lengthMillis();
        }

        /** Returns it as read earlier, but not before now. */
        private Prompt movedForward(double earlierMillis, long nowMillis) {
            return new Prompt(
                    number,
                    tokens,
                    atMillis,
                    Math.min(fromMillis, Math.max(nowMillis, fromMillis - earlierMillis)),
                    Math.min(readAtMillis, Math.max(nowMillis, readAtMillis - earlierMillis)));
        }
    }
}
