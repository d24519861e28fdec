package io.waxwingquay.forward;

import io.waxwingquay.net.ClientCall;
import io.waxwingquay.net.ClientListener;
import io.waxwingquay.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/** Asks engines for their start time where nothing else confirms which incarnation answers. */
final class IncarnationQueries {

    /** Time for an answer, for which an engine needs no slot. */
    private static final long TIMEOUT_MILLIS = 500L;

    /** Time until an engine is asked again that gave no answer. */
    private static final long REPEAT_MILLIS = 200L;

    private static final int MAX_ANSWER_BYTES = 1024 * 1024;
    private static final int OK = 200;

    private final EventLoop loop;
    private final MessageCodec codec;
    private final Map<Target, List<Runnable>> asked = new HashMap<>();

    /**
     * Creates queries of which none is under way.
     *
     * @param loop the loop on which everything runs.
     * @param codec writes the query and reads the answer.
     */
    IncarnationQueries(EventLoop loop, MessageCodec codec) {
        this.loop = loop;
        this.codec = codec;
    }

    /** Asks an engine over a connection of its pool, unless that is under way, needless or of no use. */
    void ask(Target target) {
        if (target.isAwaitingConfirmation() && !asked.containsKey(target)) {
            asked.put(target, new ArrayList<>());
            new Query(target).send();
        }
    }

    /** Asks an engine, and runs a task once it has answered or given no answer. */
    void askThen(Target target, Runnable task) {
        ask(target);
        Optional.ofNullable(asked.get(target)).ifPresentOrElse(tasks -> tasks.add(task), task);
    }

    /** One query. Its connection stays open in the pool, and belongs to the incarnation that answers. */
    private final class Query implements ClientListener {

        private final Target target;
        private final long sentMillis = EventLoop.nowMillis();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ClientCall call;
        private int status;
        private boolean ended;

        private Query(Target target) {
            this.target = target;
        }

        private void send() {
            call = target.pool().send(codec.incarnationQuery(target.address()), this);
            loop.schedule(TIMEOUT_MILLIS, this::cancel);
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int newStatus, HttpFields fields) {
            status = newStatus;
        }

        /** {@inheritDoc} */
        @Override
        public void onBody(ByteBuffer bytes) {
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            body.write(part, 0, part.length);
            if (body.size() > MAX_ANSWER_BYTES) {
                cancel();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onComplete() {
            if (status == OK) {
                long openedMillis = call.connectionOpenedMillis().orElse(sentMillis);
                codec.readIncarnation(body.toByteArray())
                        .ifPresent(
                                bornMillis -> target.incarnationStated(bornMillis, Math.max(sentMillis, openedMillis)));
            }
            end();
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(boolean mayHaveBeenSent, String reason) {
            end();
        }

        private void cancel() {
            if (!ended) {
                call.cancel();
                end();
            }
        }

        private void end() {
            if (!ended) {
                ended = true;
                loop.schedule(target.isAwaitingConfirmation() ? REPEAT_MILLIS : 0, this::runTasks);
            }
        }

        private void runTasks() {
            asked.remove(target).forEach(Runnable::run);
        }
    }
}
