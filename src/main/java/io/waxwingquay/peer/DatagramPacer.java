package io.waxwingquay.peer;

import io.waxwingquay.common.Delayer;
import io.waxwingquay.common.HostPort;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Spaces the datagrams of a round of updates, so that they use a share of the VM's link at most. Not thread-safe: everything
 * runs on the event loop.
 *
 * <p>Failure: the updates for all engines are sent at once on a narrow link. Symptom: the link's queue is full for a tenth of
 * a second or more, so that datagrams are lost and the events of streams wait behind them.
 */
public final class DatagramPacer {

    /** The share of a link that updates in rounds may use. */
    public static final double LINK_SHARE = 0.1;

    /** Datagrams of up to this time are sent at once, which makes no queue that matters. */
    private static final double BURST_MILLIS = 20.0;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final double bytesPerMilli;
    private final Delayer delayer;
    private final LongSupplier clockMillis;
    private final BiConsumer<HostPort, byte[]> output;
    private final Map<HostPort, byte[]> waiting = new LinkedHashMap<>();
    private double allowedBytes;
    private long refilledMillis;
    private boolean scheduled;

    /**
     * Creates a pacer with nothing to send.
     *
     * @param linkBytesPerSecond the bandwidth of the VM's link.
     * @param delayer runs tasks later.
     * @param clockMillis the monotonic clock.
     * @param output sends a datagram.
     */
    public DatagramPacer(
            double linkBytesPerSecond, Delayer delayer, LongSupplier clockMillis, BiConsumer<HostPort, byte[]> output) {
        this.bytesPerMilli = LINK_SHARE * linkBytesPerSecond / MILLIS_PER_SECOND;
        this.delayer = delayer;
        this.clockMillis = clockMillis;
        this.output = output;
        this.refilledMillis = clockMillis.getAsLong();
        this.allowedBytes = BURST_MILLIS * bytesPerMilli;
    }

    /**
     * Sends a datagram now or soon. It replaces an earlier one to the same destination that is still to be sent.
     *
     * @param destination the address to send it to.
     * @param encoded the encoded datagram.
     */
    public void send(HostPort destination, byte[] encoded) {
        waiting.put(destination, encoded);
        sendAllowed();
    }

    private void sendAllowed() {
        long nowMillis = clockMillis.getAsLong();
        allowedBytes =
                Math.min(BURST_MILLIS * bytesPerMilli, allowedBytes + bytesPerMilli * (nowMillis - refilledMillis));
        refilledMillis = nowMillis;
        Iterator<Map.Entry<HostPort, byte[]>> oldestFirst = waiting.entrySet().iterator();
        while (allowedBytes > 0 && oldestFirst.hasNext()) {
            Map.Entry<HostPort, byte[]> next = oldestFirst.next();
            oldestFirst.remove();
            allowedBytes -= next.getValue().length;
            output.accept(next.getKey(), next.getValue());
        }
        if (!waiting.isEmpty() && !scheduled) {
            scheduled = true;
            delayer.schedule((long) Math.ceil(-allowedBytes / bytesPerMilli) + 1, this::sendLater);
        }
    }

    private void sendLater() {
        scheduled = false;
        sendAllowed();
    }
}
