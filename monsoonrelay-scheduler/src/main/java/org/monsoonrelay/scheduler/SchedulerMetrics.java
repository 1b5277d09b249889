package org.monsoonrelay.scheduler;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.adapters.operator.WorkersRoom;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.model.job.TaskState;

/**
 * Gauges of a scheduler. They show the last sample, which the control thread takes
 * periodically, so that reading them does not load the control thread. Thread-safe: the
 * sample is immutable and replaced atomically.
 */
final class SchedulerMetrics {

	private volatile Sample sample = new Sample(0, 0, WorkersRoom.NONE, Map.of(), Map.of(), 0);

	SchedulerMetrics(MetricRegistry metrics) {
		gauge(metrics, "teams.owned", Sample::teams);
		gauge(metrics, "jobs.owned", Sample::jobs);
		gauge(metrics, "racks.owned", (sample) -> sample.workers().racks());
		gauge(metrics, "workers.owned", (sample) -> sample.workers().workers());
		gauge(metrics, "processors.capacity", (sample) -> sample.workers().capacity().processors());
		gauge(metrics, "processors.free", (sample) -> sample.workers().free().processors());
		gauge(metrics, "events.pending", Sample::events);
		for (TaskState state : TaskState.values()) {
			gauge(metrics, "tasks." + lowerCaseName(state), (sample) -> sample.tasks().getOrDefault(state, 0));
		}
		for (WaitReason reason : WaitReason.values()) {
			gauge(metrics, "tasks.waiting." + lowerCaseName(reason),
					(sample) -> sample.waiting().getOrDefault(reason, 0));
		}
	}

	private void gauge(MetricRegistry metrics, String name, ToLongFunction<Sample> value) {
		metrics.register(name, (Gauge<Long>) () -> value.applyAsLong(this.sample));
	}

	private static String lowerCaseName(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Take a sample.
	 * @param teams number of teams whose queues are owned
	 * @param jobs status of the jobs in these queues
	 * @param workers capacity of the workers in the owned racks
	 * @param events number of events not yet acknowledged
	 */
	void takeSample(int teams, List<JobStatus> jobs, WorkersRoom workers, int events) {
		Map<TaskState, Integer> tasks = new EnumMap<>(TaskState.class);
		Map<WaitReason, Integer> waiting = new EnumMap<>(WaitReason.class);
		for (JobStatus job : jobs) {
			job.counts().forEach((state, count) -> tasks.merge(state, count, Integer::sum));
			waiting.merge(job.waitReason(), job.counts().getOrDefault(TaskState.WAITING, 0), Integer::sum);
		}
		this.sample = new Sample(teams, jobs.size(), workers, tasks, waiting, events);
	}

	private record Sample(int teams, int jobs, WorkersRoom workers, Map<TaskState, Integer> tasks,
			Map<WaitReason, Integer> waiting, int events) {

	}

}
