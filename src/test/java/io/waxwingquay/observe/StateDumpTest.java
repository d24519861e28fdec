package io.waxwingquay.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.common.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class StateDumpTest {

    // A process with a hundred thousand entries is asked for its state. An unbounded dump would exhaust its memory, so
    // the oversized section is truncated and listed, and the small one beside it is complete.
    @Test
    void truncatesAnOversizedSectionAndListsIt() throws Exception {
        List<Row> rows = IntStream.range(0, 100_000)
                .mapToObj(i -> new Row("item \"" + i + "\" é", i))
                .toList();
        String text = new StateDump()
                .section("big", () -> rows)
                .section("small", () -> new Row("a", 1))
                .toJson();
        assertTrue(text.getBytes(StandardCharsets.UTF_8).length <= StateDump.MAX_BYTES);
        JsonNode dump = Json.MAPPER.readTree(text);
        assertEquals("[\"big\"]", dump.get("truncated").toString());
        assertTrue(dump.at("/sections/big").size() > 1_000);
        assertEquals("{\"name\":\"a\",\"count\":1}", dump.at("/sections/small").toString());
    }

    @Test
    void replacesAFailingSectionByItsError() throws Exception {
        String text = new StateDump()
                .section("broken", () -> {
                    throw new IllegalStateException("gone");
                })
                .section("whole", () -> List.of(1))
                .toJson();
        JsonNode dump = Json.MAPPER.readTree(text);
        assertEquals(
                "java.lang.IllegalStateException: gone",
                dump.at("/sections/broken/error").asText());
        assertEquals(1, dump.at("/sections/whole/0").asInt());
    }

    private record Row(String name, int count) {}
}
