package io.fireflywalk.daemon.operators;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;

/** Gauges of the JVM process: heap use, garbage collection time and CPU time. Stateless. */
public final class ProcessMetrics {
    private ProcessMetrics() {}

    public static void register(MetricRegistry metrics) {
        metrics.register("jvm_heap_used_bytes", (Gauge<Long>)
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        metrics.register("jvm_collection_milliseconds", (Gauge<Long>) ProcessMetrics::collectionMilliseconds);
        metrics.register("process_processor_nanoseconds", (Gauge<Long>) ProcessMetrics::cpuNanoseconds);
    }

    private static long collectionMilliseconds() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    private static long cpuNanoseconds() {
        var operatingSystem = (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return operatingSystem.getProcessCpuTime();
    }
}
