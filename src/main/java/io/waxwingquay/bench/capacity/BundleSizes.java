package io.waxwingquay.bench.capacity;

import io.waxwingquay.bundle.SignedBundle;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import java.util.zip.Deflater;

/** Measures the size of a bundle document, plain and deflated, and the time to read it, by the number of models. */
final class BundleSizes {

    private static final List<Integer> MODEL_COUNTS = List.of(40, 80, 155, 310, 620);
    private static final long VERSION = 4_400;
    private static final int ADAPTERS_PER_MODEL = 4;
    private static final String SERVICE_TOML =
            """
            version = 4400

            [[services]]
            name = "models"
            kind = "model"
            replicas = 2400
            memory_bytes = 640_000_000_000
            accelerators = 8
            orders_fenced = true
            weight_loads_at_once = 60
            weight_loads_per_second = 30.0
            adapter_loads_at_once = 600
            max_concurrent = 64
            """;
    private static final String MODEL_TEMPLATE =
            """

            [[models]]
            name = "%s"
            service = "models"
            version = "%x"
            size_bytes = %d
            priority = %d
            """;
    private static final String ADAPTER_TEMPLATE =
            """

            [[adapters]]
            name = "%s-%d"
            model = "%s"
            version = "%x"
            size_bytes = %d
            """;

    private BundleSizes() {}

    static Stream<StepTable> measureAll() {
        return Stream.of(
                StepTable.measure(
                        "bytes of a bundle document, " + ADAPTERS_PER_MODEL + " adapters a model",
                        "models",
                        MODEL_COUNTS,
                        models -> document((int) models).length),
                StepTable.measure(
                        "bytes of the same document deflated",
                        "models",
                        MODEL_COUNTS,
                        models -> deflatedBytes(document((int) models))),
                StepTable.measure(
                        "processor microseconds to read and check that document",
                        "models",
                        MODEL_COUNTS,
                        models -> readMicros(document((int) models))));
    }

    /** Creates a document. Its versions are random, as commit hashes are, since they limit how well it deflates. */
    private static byte[] document(int models) {
        Random random = new Random(5);
        StringBuilder text = new StringBuilder(SERVICE_TOML);
        for (int index = 0; index < models; index++) {
            String name = "furnace-log-" + index;
            text.append(MODEL_TEMPLATE.formatted(
                    name, random.nextLong(), (1 + random.nextInt(640)) * 1_000_000_000L, index % 100));
            for (int adapter = 0; adapter < ADAPTERS_PER_MODEL; adapter++) {
                text.append(ADAPTER_TEMPLATE.formatted(name, adapter, name, random.nextLong(), 200_000_000L));
            }
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static double readMicros(byte[] document) {
        SignedBundle signed = new SignedBundle(VERSION, document, "", "");
        return Meter.threadMicros(10, signed::read);
    }

    private static double deflatedBytes(byte[] document) {
        Deflater deflater = new Deflater();
        deflater.setInput(document);
        deflater.finish();
        byte[] buffer = new byte[document.length];
        int length = deflater.deflate(buffer);
        deflater.end();
        return length;
    }
}
