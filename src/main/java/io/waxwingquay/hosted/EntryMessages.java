package io.waxwingquay.hosted;

import io.waxwingquay.common.Delayer;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.forward.EngineNotifier;
import io.waxwingquay.peer.PeerChannel;
import io.waxwingquay.transport.generated.AdapterCall;
import io.waxwingquay.transport.generated.OriginQuestion;
import io.waxwingquay.transport.generated.OriginReport;
import io.waxwingquay.transport.generated.PeerDatagram;
import io.waxwingquay.transport.generated.SlotCancel;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.function.UnaryOperator;

/** Sends the datagrams of an entry that are not due at fixed intervals. */
final class EntryMessages implements EngineNotifier {

    /** Delay before a report of what was spent of the quotas of client accounts, so that one tells of several requests. */
    private static final long SPENDING_REPORT_DELAY_MILLIS = 1L;

    /** Delay before an urgent change is sent; it also limits how often urgent changes are sent. */
    private static final long URGENT_UPDATE_DELAY_MILLIS = 40L;

    private final PeerChannel peers;
    private final UnaryOperator<HostPort> sideAddressOf;
    private final Delayer delayer;
    private final Runnable sendUpdates;
    private final Runnable sendSpendingReports;
    private boolean urgentUpdateScheduled;
    private boolean spendingReportScheduled;

    /**
     * Creates the sender.
     *
     * @param peers the channel.
     * @param sideAddressOf finds the address of the side process beside an engine.
     * @param delayer runs tasks later.
     * @param sendUpdates sends the status updates that are due.
     * @param sendSpendingReports sends the reports of spending that are due.
     */
    EntryMessages(
            PeerChannel peers,
            UnaryOperator<HostPort> sideAddressOf,
            Delayer delayer,
            Runnable sendUpdates,
            Runnable sendSpendingReports) {
        this.peers = peers;
        this.sideAddressOf = sideAddressOf;
        this.delayer = delayer;
        this.sendUpdates = sendUpdates;
        this.sendSpendingReports = sendSpendingReports;
    }

    /** {@inheritDoc} */
    @Override
    public void requestAdapter(HostPort engine, long id, String model, String adapter) {
        sendToSide(engine, PeerDatagram.adapterCall(new AdapterCall(id, model, adapter)));
    }

    /** {@inheritDoc} */
    @Override
    public void requestSlot(HostPort engine, SlotRequest request) {
        sendToSide(engine, PeerDatagram.slotRequest(request));
    }

    /** {@inheritDoc} */
    @Override
    public void cancelSlot(HostPort engine, long id) {
        sendToSide(engine, PeerDatagram.slotCancel(new SlotCancel(id)));
    }

    /** {@inheritDoc} */
    @Override
    public void report(HostPort process, OriginReport report) {
        peers.send(process, PeerDatagram.originReport(report));
    }

    /** {@inheritDoc} */
    @Override
    public void ask(HostPort process, OriginQuestion question) {
        peers.send(process, PeerDatagram.originQuestion(question));
    }

    /** {@inheritDoc} */
    @Override
    public void spendingReportDue() {
        if (!spendingReportScheduled) {
            spendingReportScheduled = true;
            delayer.schedule(SPENDING_REPORT_DELAY_MILLIS, () -> {
                spendingReportScheduled = false;
                sendSpendingReports.run();
            });
        }
    }

    /** {@inheritDoc} */
    @Override
    public void demandChanged() {
        if (!urgentUpdateScheduled) {
            urgentUpdateScheduled = true;
            delayer.schedule(URGENT_UPDATE_DELAY_MILLIS, () -> {
                urgentUpdateScheduled = false;
                sendUpdates.run();
            });
        }
    }

    private void sendToSide(HostPort engine, PeerDatagram datagram) {
        peers.send(sideAddressOf.apply(engine), datagram);
    }
}
