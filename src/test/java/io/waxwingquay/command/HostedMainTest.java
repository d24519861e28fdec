package io.waxwingquay.command;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class HostedMainTest {

    @Test
    void takesTheNameOfOneRoleAndNothingElse() {
        assertEquals(Optional.of(HostedRole.ENTRY), HostedMain.role("entry"));
        assertEquals(Optional.of(HostedRole.SIDE), HostedMain.role("side"));
        assertEquals(Optional.empty(), HostedMain.role());
        assertEquals(Optional.empty(), HostedMain.role("keeper"));
        assertEquals(Optional.empty(), HostedMain.role("entry", "--log"));
    }
}
