package io.waxwingquay.forward;

import java.util.Optional;

/**
 * The software version that one stream began at here, which may be confirmed only after its first event: an incarnation that
 * ran before the stream and is confirmed after it has run all the time between.
 */
final class OriginConfirmation {

    private final ForwardContext context;
    private final MessageCodec.RequestHead head;
    private final StreamProgress stream;
    private Optional<Target> unconfirmed = Optional.empty();

    /**
     * Creates the origin of a stream that has not begun.
     *
     * @param context takes the origin, and confirms incarnations.
     * @param head the head of the request.
     * @param stream its progress.
     */
    OriginConfirmation(ForwardContext context, MessageCodec.RequestHead head, StreamProgress stream) {
        this.context = context;
        this.head = head;
        this.stream = stream;
    }

    /** Notes the replica that sent the first event. */
    void began(Target target) {
        if (stream.softwareVersion().isPresent()) {
            context.streamBegan(head, target, stream.softwareVersion());
        } else if (target.isAwaitingConfirmation()) {
            unconfirmed = Optional.of(target);
            context.confirmIncarnation(target);
        } else {
            context.streamBegan(head, target, target.softwareVersion());
        }
    }

    /** Takes a confirmation that has come. */
    void check() {
        unconfirmed.ifPresent(this::check);
    }

    /** Returns whether the version is not known yet. */
    boolean isUnconfirmed() {
        check();
        return unconfirmed.isPresent();
    }

    /** Notes the end of the response before that of the stream, which its caller may resume: one more query decides. */
    void broken() {
        if (isUnconfirmed()) {
            Target target = unconfirmed.get();
            context.confirmIncarnationThen(target, () -> context.streamBegan(head, target, target.softwareVersion()));
        }
    }

    private void check(Target target) {
        if (target.isAwaitingConfirmation()) {
            context.confirmIncarnation(target);
        } else {
            unconfirmed = Optional.empty();
            target.softwareVersion().ifPresent(stream::softwareVersionConfirmed);
            context.streamBegan(head, target, target.softwareVersion());
        }
    }
}
