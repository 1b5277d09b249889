package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

import static org.assertj.core.api.Assertions.assertThat;

class JobTests {

	private static final int TASKS = 3;

	private static final WorkerId WORKER = new WorkerId("worker-1");

	private static final Instant START = Instant.parse("2026-12-02T00:00:00Z");

	private static Workload declared(int tasks, boolean once) {
		return new Workload(new JobId("wages", "1"), WorkloadKind.BATCH, "crew", tasks, new Resources(1, 1, 0), 1000,
				once, false, List.of(), List.of());
	}

	@Group
	class UnderAnyOrderDuplicatesAndLossesOfMessages {

		@Property(seed = "1", tries = 5000)
		void aRunOnceTaskIsNeverPlacedWhileAnEarlierAttemptMayRun(
				@ForAll @Size(max = 80) List<@IntRange(max = 9999) Integer> steps) {
			SimulatedJob simulation = new SimulatedJob(true);
			steps.forEach(simulation::step);
			assertThat(simulation.overlaps).isZero();
		}

		@Property(seed = "2", tries = 5000)
		void aTaskHasAtMostOneOpenAttemptAndNeverLeavesAFinalState(
				@ForAll @Size(max = 80) List<@IntRange(max = 9999) Integer> steps, @ForAll boolean once) {
			SimulatedJob simulation = new SimulatedJob(once);
			for (int step : steps) {
				Map<Integer, TaskState> before = simulation.finalStates();
				boolean restarted = simulation.step(step);
				long tasks = simulation.job.openAttempts().stream().map(AttemptId::task).distinct().count();
				assertThat(simulation.job.openAttempts()).hasSize((int) tasks);
				assertThat(restarted || simulation.finalStates().entrySet().containsAll(before.entrySet())).isTrue();
			}
		}

		@Property(seed = "3", tries = 5000)
		void anAttemptThatEndedIsNeverConsideredOpen(@ForAll @Size(max = 80) List<@IntRange(max = 9999) Integer> steps,
				@ForAll boolean once) {
			SimulatedJob simulation = new SimulatedJob(once);
			for (int step : steps) {
				simulation.step(step);
				assertThat(simulation.job.openAttempts()).noneMatch(simulation.processedEnds::contains);
			}
		}

		@Property(seed = "4", tries = 2000)
		void stateCountsMatchTheStatesOfTheTasks(@ForAll @Size(max = 80) List<@IntRange(max = 9999) Integer> steps,
				@ForAll boolean once) {
			SimulatedJob simulation = new SimulatedJob(once);
			for (int step : steps) {
				simulation.step(step);
				Map<TaskState, Integer> counted = new HashMap<>();
				simulation.job.tasks().forEach((task) -> counted.merge(task.state(), 1, Integer::sum));
				assertThat(simulation.job.stateCounts()).isEqualTo(counted);
				assertThat(simulation.job.isFinal()).isEqualTo(counted.keySet().stream().allMatch(TaskState::isFinal));
			}
		}

	}

	/**
	 * A job with the actual state of its workers, and messages that report this state
	 * late, more than once or never.
	 */
	private static final class SimulatedJob {

		private final boolean once;

		private final List<AttemptId> startRequested = new ArrayList<>();

		private final List<AttemptId> running = new ArrayList<>();

		private final List<Message> messages = new ArrayList<>();

		private final Set<AttemptId> processedEnds = new HashSet<>();

		private Job job;

		private JobRecord durable = JobRecord.NONE;

		private long epoch = 1;

		private int overlaps;

		SimulatedJob(boolean once) {
			this.once = once;
			this.job = new Job(declared(TASKS, once), this.durable, this.epoch, START);
		}

		boolean step(int number) {
			int pick = number / 12;
			switch (number % 12) {
				case 0, 1, 2 -> place();
				case 3, 4 -> {
					if (!this.startRequested.isEmpty()) {
						AttemptId started = this.startRequested.remove(pick % this.startRequested.size());
						this.running.add(started);
						this.messages.add(new Message(started, Kind.RUNNING));
					}
				}
				case 5 -> end(this.running, pick, (pick % 2 == 0) ? Kind.FINISHED : Kind.FAILED);
				case 6 -> end(this.startRequested, pick, Kind.GONE);
				case 7, 8 -> {
					if (!this.messages.isEmpty()) {
						deliver(this.messages.get(pick % this.messages.size()));
					}
				}
				case 9 -> this.job.openAttempts().stream().limit(1).forEach(this.job::markLeaseExpired);
				case 10 -> this.job.updateDeclaration(declared(1 + pick % TASKS, this.once));
				default -> {
					this.epoch++;
					this.processedEnds.clear();
					this.job = new Job(declared(TASKS, this.once), this.durable, this.epoch, START);
					return true;
				}
			}
			return false;
		}

		private void place() {
			Instant now = START.plusSeconds(3600);
			for (int task : this.job.placeableTasks(now, Integer.MAX_VALUE)) {
				boolean mayRun = this.running.stream().anyMatch((attempt) -> attempt.task() == task)
						|| this.startRequested.stream().anyMatch((attempt) -> attempt.task() == task);
				this.overlaps += mayRun ? 1 : 0;
				AttemptId attempt = this.job.openAttempt(task);
				assertThat(this.job.recordReservation(attempt, WORKER, "incarnation-1")).isTrue();
				assertThat(this.job.markStarting(attempt)).isTrue();
				this.startRequested.add(attempt);
			}
			this.durable = this.job.toRecord("write", 1);
		}

		private void end(List<AttemptId> from, int pick, Kind kind) {
			if (!from.isEmpty()) {
				this.messages.add(new Message(from.remove(pick % from.size()), kind));
			}
		}

		private void deliver(Message message) {
			switch (message.kind) {
				case RUNNING -> this.job.markRunning(message.attempt, WORKER);
				case FINISHED -> this.job.markFinished(message.attempt);
				case FAILED -> this.job.markFailed(message.attempt, START);
				case GONE -> this.job.markNotRunning(message.attempt);
			}
			if (message.kind != Kind.RUNNING) {
				this.processedEnds.add(message.attempt);
			}
		}

		Map<Integer, TaskState> finalStates() {
			Map<Integer, TaskState> states = new HashMap<>();
			for (int task = 0; task < TASKS; task++) {
				if (this.job.state(task).isFinal()) {
					states.put(task, this.job.state(task));
				}
			}
			return states;
		}

	}

	private enum Kind {

		RUNNING, FINISHED, FAILED, GONE

	}

	private record Message(AttemptId attempt, Kind kind) {

	}

}
