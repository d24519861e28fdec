package io.waxwingquay.pace;

import io.waxwingquay.fleet.RunningRequest;
import io.waxwingquay.reservation.PromptPacer;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Spaces prompts by the learned speed of the engine: a prompt is admitted while the time for one event, with all prompt
 * tokens that are read meanwhile, is well below the shortest objective for pauses.
 *
 * <p>Prompts that have been read within the time of one planned event count as well as those that are still to be read.
 * Otherwise prompts that are admitted as fast as the engine reads them would keep it reading all the time, and each pause
 * would be several times as long.
 *
 * <p>A prompt that is too long for this is admitted when no other is being read. Not thread-safe: everything runs on the
 * event loop.
 */
public final class PacePromptPacer implements PromptPacer {

    /** Share of the objective that an event is planned to take; the rest covers errors of the estimate. */
    private static final double PLANNED_SHARE = 0.75;

    /** Batch for which event times are compared over time. */
    private static final int REFERENCE_BATCH = 8;

    /** The longest prompt that is taken as stated, far above the key-value cache of an engine. */
    private static final long MAX_PROMPT_TOKENS = 10_000_000L;

    private EventTimeModel model = new EventTimeModel();
    private EventMeter meter = new EventMeter();
    private PromptBacklog backlog = new PromptBacklog();
    private PauseObjectives objectives = new PauseObjectives();
    private Slowness slowness = new Slowness();
    private Set<String> producing = Set.of();
    private boolean isRunning;
    private long bornMillis;

    /** {@inheritDoc} */
    @Override
    public long delayMillis(long promptTokens, long pauseObjectiveMillis, long nowMillis) {
        // Without known streams, as after a restart of this process, the objectives of the running ones are not known.
        long objectiveMillis = objectives.shortest(nowMillis).orElse(isRunning ? pauseObjectiveMillis : 0);
        if (objectiveMillis <= 0) {
            return 0;
        }
        double plannedMillis = PLANNED_SHARE * objectiveMillis;
        double partMillis = plannedMillis - model.eventMillis(batch(nowMillis));
        double promptMillis = bounded(promptTokens) * model.tokenMillis();
        double delayMillis = promptMillis > partMillis
                ? backlog.millisUntilIdle(nowMillis)
                : backlog.millisUntilRoom(promptMillis, partMillis, plannedMillis, nowMillis);
        return (long) Math.ceil(delayMillis);
    }

    /** {@inheritDoc} */
    @Override
    public void admitted(long promptTokens, long pauseObjectiveMillis, long nowMillis) {
        backlog.add(bounded(promptTokens), model.tokenMillis(), nowMillis);
        objectives.add(pauseObjectiveMillis, nowMillis);
    }

    /** {@inheritDoc} */
    @Override
    public void observed(long newBornMillis, List<RunningRequest> runs, long nowMillis) {
        if (isOtherIncarnation(newBornMillis)) {
            forget();
        }
        bornMillis = newBornMillis == 0 ? bornMillis : newBornMillis;
        noteStreams(runs, nowMillis);
        meter.observe(runs, backlog.readTokens(nowMillis), nowMillis).ifPresent(sample -> learn(sample, nowMillis));
        slowness.expire(nowMillis);
    }

    /** {@inheritDoc} */
    @Override
    public int effectiveSlots(int slots) {
        return slowness.effectiveSlots(slots);
    }

    /** Returns the learned time for one event of a batch while no prompt is read. */
    double eventMillis(double batch) {
        return model.eventMillis(batch);
    }

    /** Returns the learned time for one prompt token. */
    double tokenMillis() {
        return model.tokenMillis();
    }

    private void learn(EventSample sample, long nowMillis) {
        model.learn(sample);
        slowness.observe(model.eventMillis(REFERENCE_BATCH), nowMillis);
    }

    private boolean isOtherIncarnation(long newBornMillis) {
        return bornMillis != 0 && newBornMillis != 0 && bornMillis != newBornMillis;
    }

    private void forget() {
        model = new EventTimeModel();
        meter = new EventMeter();
        backlog = new PromptBacklog();
        objectives = new PauseObjectives();
        slowness = new Slowness();
        producing = Set.of();
    }

    private void noteStreams(List<RunningRequest> runs, long nowMillis) {
        Set<String> nowProducing = runs.stream()
                .filter(run -> run.events() > 0)
                .map(RunningRequest::attemptId)
                .collect(Collectors.toSet());
        backlog.confirmRead(
                nowProducing.stream().filter(id -> !producing.contains(id)).count(), nowMillis);
        if (runs.stream().allMatch(run -> run.events() > 0)) {
            backlog.confirmIdle(nowMillis);
        }
        producing = nowProducing;
        isRunning = !runs.isEmpty();
        if (!isRunning && backlog.unseenPrompts(nowMillis) == 0) {
            objectives.clear();
        }
    }

    /** Returns the streams that produce events now or soon. */
    private int batch(long nowMillis) {
        return producing.size() + backlog.unseenPrompts(nowMillis);
    }

    private static long bounded(long promptTokens) {
        return Math.max(0, Math.min(MAX_PROMPT_TOKENS, promptTokens));
    }
}
