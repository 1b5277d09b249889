package org.monsoonrelay.scheduler;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.node.ProcessMetrics;
import org.monsoonrelay.adapters.operator.WorkersRoom;
import org.monsoonrelay.adapters.platform.MeteredTable;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.WorkloadKind;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulerMetricsTests {

	private final MetricRegistry metrics = new MetricRegistry();

	private final SchedulerMetrics scheduler = new SchedulerMetrics(this.metrics);

	private Object value(String name) {
		return this.metrics.getGauges().get(name).getValue();
	}

	@Test
	void gaugesShowTheLastSample() {
		JobStatus job = new JobStatus(new JobId("roster", "r1"), WorkloadKind.BATCH, "salons", 5,
				Map.of(TaskState.WAITING, 3, TaskState.RUNNING, 2), WaitReason.QUOTA, List.of());
		this.scheduler.takeSample(2, List.of(job, job),
				new WorkersRoom(4, 32, new Resources(64, 1, 0), new Resources(16, 1, 0)), 7);

		assertThat(value("tasks.waiting")).isEqualTo(6L);
		assertThat(value("tasks.waiting.quota")).isEqualTo(6L);
		assertThat(value("tasks.running")).isEqualTo(4L);
		assertThat(value("processors.free")).isEqualTo(16L);
		assertThat(value("events.pending")).isEqualTo(7L);
	}

	@Test
	void everyMetricIsDocumented() throws IOException {
		ProcessMetrics.addTo(this.metrics, new ControlTracker());
		new MeteredTable(null, this.metrics);
		String page = Files.readString(Path.of("..", "docs", "METRICS.md"));

		assertThat(this.metrics.getNames()).isNotEmpty().allMatch((name) -> page.contains("`" + name + "`"));
	}

}
