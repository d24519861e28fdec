package io.waxwingquay.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Reads processor time and heap of this process. */
final class Meter {

    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final int GARBAGE_COLLECTIONS = 3;
    private static final int BATCHES = 5;

    private Meter() {}

    /** Processor time of this thread for one call, in microseconds: the median of batches after a warm-up. */
    static double threadMicros(int calls, Runnable work) {
        repeat(calls, work);
        List<Double> batches = new ArrayList<>();
        for (int batch = 0; batch < BATCHES; batch++) {
            long fromNanos = threadNanos();
            repeat(calls, work);
            batches.add((threadNanos() - fromNanos) / NANOS_PER_MICRO / calls);
        }
        batches.sort(null);
        return batches.get(BATCHES / 2);
    }

    /** Processor time of the whole process for one call, in microseconds. */
    static double processMicros(int calls, Runnable work) {
        repeat(calls, work);
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long fromNanos = system.getProcessCpuTime();
        repeat(calls, work);
        return (system.getProcessCpuTime() - fromNanos) / NANOS_PER_MICRO / calls;
    }

    /** Heap bytes that some number of things hold. */
    static double heapBytes(int count, IntFunction<Object> make) {
        long emptyBytes = usedBytes();
        Object held = make.apply(count);
        long usedBytes = usedBytes();
        java.lang.ref.Reference.reachabilityFence(held);
        return usedBytes - emptyBytes;
    }

    private static long usedBytes() {
        for (int collection = 0; collection < GARBAGE_COLLECTIONS; collection++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static long threadNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static void repeat(int calls, Runnable work) {
        for (int call = 0; call < calls; call++) {
            work.run();
        }
    }
}
