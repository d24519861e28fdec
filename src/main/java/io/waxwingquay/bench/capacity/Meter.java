package io.waxwingquay.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Measures processor time and heap use of this process. */
final class Meter {

    private static final double NANOS_PER_MICRO = 1_000.0;
    private static final int GARBAGE_COLLECTIONS = 3;
    private static final int BATCHES = 5;

    private Meter() {}

    /** Returns the processor time of this thread for one call: the median of several batches after a warm-up. */
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

    /** Returns the processor time of the whole process for one call, after a warm-up. */
    static double processMicros(int calls, Runnable work) {
        repeat(calls, work);
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long fromNanos = system.getProcessCpuTime();
        repeat(calls, work);
        return (system.getProcessCpuTime() - fromNanos) / NANOS_PER_MICRO / calls;
    }

    /** Returns the heap bytes that stay in use while the objects made for a count are reachable. */
    static double heapBytes(int count, IntFunction<Object> make) {
        long emptyBytes = usedBytes();
        Object objects = make.apply(count);
        long usedBytes = usedBytes();
        java.lang.ref.Reference.reachabilityFence(objects);
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
