package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AdapterNameTest {

    // Guards against protecting another adapter than the one that an entry reports as in use.
    @Test
    void nameThatIsWrittenIsReadAgain() {
        AdapterName name = new AdapterName("m", "a1");
        assertEquals(name, AdapterName.parse(name.toString()));
    }
}
