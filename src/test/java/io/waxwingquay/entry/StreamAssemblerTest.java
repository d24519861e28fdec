package io.waxwingquay.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.transport.generated.Chunk;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class StreamAssemblerTest {

    @Property(tries = 200, seed = "20261202")
    void anyOrderWithDuplicatesGivesEachChunkOnceInOrder(
            @ForAll @IntRange(min = 1, max = 40) int count, @ForAll long seed) {
        Random random = new Random(seed);
        List<Chunk> sent = new ArrayList<>();
        for (int offset = 0; offset < count; offset++) {
            Chunk chunk = new Chunk().setOffset(offset).setUnits(1).setBytes(new byte[] {(byte) offset});
            sent.addAll(Collections.nCopies(1 + random.nextInt(3), chunk));
        }
        Collections.shuffle(sent, random);
        StreamAssembler assembler = new StreamAssembler();
        List<Long> offsets = new ArrayList<>();
        sent.forEach(chunk -> assembler.accept(List.of(chunk)).forEach(ready -> offsets.add(ready.getOffset())));
        assertEquals(LongStream.range(0, count).boxed().toList(), offsets);
    }
}
