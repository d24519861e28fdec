package io.waxwingquay.command;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class HostedMainTest {

    @Test
    void acceptsExactlyOneRoleName() {
        assertEquals(Optional.of(HostedRole.ENTRY), HostedMain.parseRole("entry"));
        assertEquals(Optional.of(HostedRole.SIDE), HostedMain.parseRole("side"));
        assertEquals(Optional.empty(), HostedMain.parseRole());
        assertEquals(Optional.empty(), HostedMain.parseRole("keeper"));
        assertEquals(Optional.empty(), HostedMain.parseRole("entry", "--log"));
    }
}
