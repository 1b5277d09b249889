package org.monsoonrelay.standin;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.AttemptMessage;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.CommandMessage;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.job.AttemptId;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerStandinTests {

	private static final AttemptId ATTEMPT = AttemptId.parse("roster@1/0/1");

	private static final AttemptId NEXT = AttemptId.parse("roster@1/0/2");

	private static final long RUN_MILLIS = 600_000;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final CheckpointStore checkpoints = new CheckpointStore();

	private final WorkerStandin worker = new WorkerStandin(new Host("worker-1", new HostAddress("127.0.0.1", 1),
			HostKind.WORKER, "i1", "a", "r1", "", HostState.LIVE, new Resources(8, 8192, 0)), this.timer, new TaskLog(),
			this.checkpoints);

	@BeforeEach
	void startATask() {
		AttemptMessage start = new AttemptMessage(ATTEMPT.toString(), "crew", new Resources(1, 1024, 0), RUN_MILLIS,
				null);
		this.worker.command(new CommandMessage(1, 1000, "i1", List.of(start), List.of(), List.of()));
	}

	@AfterEach
	void stopTimer() {
		this.timer.shutdownNow();
	}

	private AttemptPhase phase() {
		return this.worker.command(new CommandMessage(1, 1000, "i1", List.of(), List.of(), List.of()))
			.attempts()
			.get(0)
			.phase();
	}

	@Test
	void usageIsShownOnlyOnceItIsTaken() {
		assertThat(this.worker.usage().attempts()).isEmpty();

		this.worker.takeUsage();

		assertThat(this.worker.usage().attempts())
			.containsExactly(new WorkerUsage.AttemptUsage(ATTEMPT.toString(), 100));
	}

	@Test
	void throttledTaskUsesItsShare() {
		this.worker.throttle(ATTEMPT, 25);
		this.worker.takeUsage();

		assertThat(this.worker.usage().attempts())
			.containsExactly(new WorkerUsage.AttemptUsage(ATTEMPT.toString(), 25));
		assertThat(phase()).isEqualTo(AttemptPhase.RUNNING);
	}

	@Test
	void checkpointedTaskEndsAndLeavesTheRestToTheNextAttempt() {
		this.worker.checkpoint(ATTEMPT);
		this.worker.checkpoint(ATTEMPT);

		assertThat(phase()).isEqualTo(AttemptPhase.STOPPED);
		assertThat(this.checkpoints.remaining(NEXT))
			.hasValueSatisfying((remaining) -> assertThat(remaining).isPositive().isLessThanOrEqualTo(RUN_MILLIS));
	}

}
