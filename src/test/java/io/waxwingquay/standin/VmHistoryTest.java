package io.waxwingquay.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.store.VmList.Vm;
import java.util.List;
import org.junit.jupiter.api.Test;

class VmHistoryTest {

    private static final long SECOND_MICROS = 1_000_000L;

    private final StandinTimer.Manual timer = new StandinTimer.Manual();
    private final VmHistory history = new VmHistory(timer, 20_000L, 10_000L);

    @Test
    void listLagsAndCanGoBackwards() {
        // A VM announces that it is leaving. Within the lag the list still shows it as live, then as leaving. A list
        // that goes backwards shows it as live again, so a reader must never resurrect a VM because of an older list.
        timer.advance(100 * SECOND_MICROS);
        history.announce(vm(false));
        timer.advance(5 * SECOND_MICROS);
        history.announce(vm(true));

        timer.advance(17 * SECOND_MICROS);
        assertEquals(List.of(vm(false)), history.list(0));
        timer.advance(3 * SECOND_MICROS);
        assertEquals(List.of(vm(true)), history.list(0));
        assertEquals(List.of(vm(false)), history.list(2_000L));
        timer.advance(11 * SECOND_MICROS);
        assertEquals(List.of(), history.list(0));
    }

    private static Vm vm(boolean leaving) {
        return new Vm("vm-1", "127.0.0.1", 9_000, "north", "side", leaving);
    }
}
