package io.waxwingquay.reservation;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.SlotCancel;
import io.waxwingquay.transport.generated.SlotReply;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Answers the entries' messages about the slots of one engine. Not thread-safe: everything runs on the event loop. */
public final class ReservationServer {

    /** No request waits for so long; a larger value in a message would only overflow sums of times. */
    private static final long MAX_DURATION_MILLIS = 600_000L;

    private static final double DEFAULT_WEIGHT = 1.0;

    private static final System.Logger LOG = System.getLogger("waxwingquay.reservation");

    private final SlotBook book;
    private final Sender sender;
    private long grantedCount;

    /**
     * Creates a server.
     *
     * @param book decides who gets the slots.
     * @param sender sends the replies.
     */
    public ReservationServer(SlotBook book, Sender sender) {
        this.book = book;
        this.sender = sender;
    }

    /**
     * Sets the number of requests that the engine runs at once.
     *
     * @param slots the number of slots.
     */
    public void configure(int slots) {
        book.configure(slots);
    }

    /**
     * Handles a request for a slot.
     *
     * @param from the address of the entry.
     * @param message the request.
     */
    public void request(HostPort from, io.waxwingquay.transport.generated.SlotRequest message) {
        if (!message.isSetAttemptId() || !message.isSetModel()) {
            LOG.log(System.Logger.Level.WARNING, "reservation: incomplete request discarded sender={0}", from);
            return;
        }
        reply(book.submit(toRequest(from, message)));
    }

    /**
     * Grants a request without counting it, as the slots are not shared out here. The entry sends by its own estimate.
     *
     * @param from the address of the entry.
     * @param message the request.
     */
    public void grantUncounted(HostPort from, io.waxwingquay.transport.generated.SlotRequest message) {
        if (book.hasWaiting()) {
            book.cancel(new SlotRequest.Key(from, message.getId()));
        }
        reply(from, message.getId(), new SlotDecision.Granted());
    }

    /**
     * Denies a request, as the engine leaves or was lost and its slots are not shared out.
     *
     * @param from the address of the entry.
     * @param message the request.
     */
    public void denyLeaving(HostPort from, io.waxwingquay.transport.generated.SlotRequest message) {
        reply(from, message.getId(), new SlotDecision.Denied(RetryTimes.UNBOOKED_MILLIS, SlotDecision.Reason.LEAVING));
    }

    /**
     * Handles a cancellation.
     *
     * @param from the address of the entry.
     * @param message the cancellation.
     */
    public void cancel(HostPort from, SlotCancel message) {
        book.cancel(new SlotRequest.Key(from, message.getId()));
    }

    /**
     * Takes a fresh report of the engine.
     *
     * @param occupancy what the report tells.
     */
    public void observe(EngineOccupancy occupancy) {
        reply(book.observe(occupancy));
    }

    /** Denies all waiting requests, as the engine was lost. */
    public void engineLost() {
        reply(book.engineLost());
    }

    /** Sends the answers that are due by time alone. */
    public void advance() {
        reply(book.advance());
    }

    /**
     * Returns whether any request waits for a slot.
     *
     * @return whether the engine should be polled often.
     */
    public boolean hasWaiting() {
        return book.hasWaiting();
    }

    /**
     * Returns the number of replies that granted a slot, those to repeated requests included.
     *
     * @return the number since the start of the process.
     */
    public long grantedCount() {
        return grantedCount;
    }

    private void reply(List<SlotAnswer> answers) {
        answers.forEach(answer -> reply(answer.key().entry(), answer.key().id(), answer.decision()));
    }

    private void reply(HostPort entry, long id, SlotDecision decision) {
        SlotReply reply = new SlotReply().setId(id).setLoad(book.load());
        if (decision instanceof SlotDecision.Granted) {
            grantedCount++;
            reply.setDecision(io.waxwingquay.transport.generated.SlotDecision.GRANTED)
                    .setWaitMillis(0);
        } else if (decision instanceof SlotDecision.Queued queued) {
            reply.setDecision(io.waxwingquay.transport.generated.SlotDecision.QUEUED)
                    .setWaitMillis(toInt(queued.waitMillis()));
        } else if (decision instanceof SlotDecision.Denied denied) {
            reply.setDecision(io.waxwingquay.transport.generated.SlotDecision.DENIED)
                    .setWaitMillis(toInt(denied.retryAfterMillis()))
                    .setReason(denied.reason().name().toLowerCase(Locale.ROOT));
        }
        sender.send(entry, reply);
    }

    private static SlotRequest toRequest(HostPort from, io.waxwingquay.transport.generated.SlotRequest message) {
        return new SlotRequest(
                new SlotRequest.Key(from, message.getId()),
                message.getAttemptId(),
                message.getModel(),
                Optional.ofNullable(message.getAdapter()),
                Math.max(0, message.getPromptTokens()),
                Math.max(0, message.getOutputTokens()),
                new Rank(
                        message.getAccountPriority(),
                        message.getRoutePriority(),
                        duration(message.getObjectiveMillis())),
                Optional.ofNullable(message.getAccount()),
                weight(message.getAccountWeight()),
                duration(message.getAgeMillis()),
                duration(message.getMaxWaitMillis()),
                duration(message.getPauseObjectiveMillis()));
    }

    private static double weight(double stated) {
        return stated > 0 && Double.isFinite(stated) ? stated : DEFAULT_WEIGHT;
    }

    private static long duration(long stated) {
        return Math.max(0, Math.min(MAX_DURATION_MILLIS, stated));
    }

    private static int toInt(long millis) {
        return (int) duration(millis);
    }

    /** Sends replies to entries. */
    @FunctionalInterface
    public interface Sender {

        /**
         * Sends a reply.
         *
         * @param entry the address of the entry.
         * @param reply the reply.
         */
        void send(HostPort entry, SlotReply reply);
    }
}
