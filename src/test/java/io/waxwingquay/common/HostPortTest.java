package io.waxwingquay.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class HostPortTest {

    @Test
    void parsesHostAndPort() {
        assertEquals(new HostPort("10.0.0.7", 9000), HostPort.of("10.0.0.7:9000"));
    }

    @Test
    void messageNamesMalformedAddress() {
        IllegalArgumentException failure = assertThrows(IllegalArgumentException.class, () -> HostPort.of("10.0.0.7"));
        assertEquals("address '10.0.0.7' is not host:port; write for example 10.0.0.7:9000", failure.getMessage());
    }
}
