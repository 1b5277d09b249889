package org.monsoonrelay.adapters.node;

import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import org.monsoonrelay.adapters.logging.LogRateLimitFilter;
import org.monsoonrelay.logic.control.ControlTracker;

/**
 * Metrics common to all daemons: the active control version, the resource usage of the
 * process and the number of dropped log lines. Stateless and thread-safe.
 */
public final class ProcessMetrics {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private ProcessMetrics() {
	}

	/**
	 * Registers the metrics.
	 * @param metrics the registry of the metrics
	 * @param tracker provides the active control version
	 */
	public static void addTo(MetricRegistry metrics, ControlTracker tracker) {
		gauge(metrics, "control.version", () -> tracker.activeState().head().version());
		gauge(metrics, "process.cpu.seconds", ProcessMetrics::processorSeconds);
		gauge(metrics, "process.uptime.seconds",
				() -> ManagementFactory.getRuntimeMXBean().getUptime() / (double) TimeUnit.SECONDS.toMillis(1));
		gauge(metrics, "process.heap.bytes", () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
		gauge(metrics, "log.lines.dropped", LogRateLimitFilter::droppedCount);
	}

	private static void gauge(MetricRegistry metrics, String name, Gauge<?> value) {
		metrics.register(name, value);
	}

	private static double processorSeconds() {
		OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
		return system.getProcessCpuTime() / NANOS_PER_SECOND;
	}

}
