package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class PoolWorkerTests {

	private static final TaskKey TASK = new TaskKey("job", 0, 0, 1);

	private static final StepKey STEP = new StepKey("other", 0, 0);

	private static final Resources SIZE = new Resources(200, 100, 1);

	private final PoolWorker worker = new PoolWorker(info(1000));

	private static WorkerInfo info(int processors) {
		return new WorkerInfo("w", "salon", "127.0.0.1:1", "porto", new Resources(processors, 1000, 2), List.of(), "r",
				false, 0);
	}

	@Test
	void hasItsFullCapacityFreeInitially() {
		assertThat(this.worker.free()).isEqualTo(new Resources(1000, 1000, 2));
	}

	@Test
	void commitsCapacityToRunsAndReleasesIt() {
		this.worker.add(Run.starting(TASK, 1, "w", SIZE, 0));
		assertThat(this.worker.free()).isEqualTo(new Resources(800, 900, 1));
		this.worker.add(Run.starting(TASK, 2, "w", SIZE.times(2), 0));
		assertThat(this.worker.free()).isEqualTo(new Resources(600, 800, 0));
		this.worker.release(TASK);
		assertThat(this.worker.free()).isEqualTo(new Resources(1000, 1000, 2));
	}

	@Test
	void holdsCapacityUntilTheHoldExpires() {
		this.worker.hold(STEP, SIZE, 10);
		this.worker.releaseHold(new StepKey("third", 0, 0));
		assertThat(this.worker.free()).isEqualTo(new Resources(800, 900, 1));
		this.worker.expireHolds(11);
		assertThat(this.worker.free()).isEqualTo(new Resources(1000, 1000, 2));
		this.worker.hold(STEP, SIZE, 10);
		this.worker.releaseHold(STEP);
		assertThat(this.worker.free()).isEqualTo(new Resources(1000, 1000, 2));
	}

	@Test
	void hasNoFreeCapacityWhileItsRunsExceedItsCapacity() {
		this.worker.add(Run.starting(TASK, 1, "w", SIZE, 0));
		this.worker.update(info(100));
		assertThat(this.worker.free()).isEqualTo(Resources.NONE);
		this.worker.update(info(400));
		assertThat(this.worker.free()).isEqualTo(new Resources(200, 900, 1));
	}

	private static WorkerInfo infoOfIncarnation(long startedMillis) {
		WorkerInfo info = info(1000);
		return new WorkerInfo(info.id(), info.service(), info.address(), info.failureDomain(), info.capacity(),
				info.labels(), info.rack(), false, 0, OptionalLong.of(startedMillis));
	}

	@Test
	void anEntryOfALaterIncarnationTellsOfARestartOnce() {
		this.worker.update(infoOfIncarnation(100));
		this.worker.incarnation().recordReport(reportOfIncarnation(100), 0);
		assertThat(this.worker.update(infoOfIncarnation(100))).isFalse();
		assertThat(this.worker.update(infoOfIncarnation(200))).isTrue();
		assertThat(this.worker.update(infoOfIncarnation(200))).isFalse();
	}

	@Test
	void aLateEntryOfAFormerIncarnationTellsOfNoRestartAndIsNotUsed() {
		this.worker.incarnation().recordReport(reportOfIncarnation(200), 0);
		this.worker.markReachable();
		assertThat(this.worker.update(infoOfIncarnation(100))).isFalse();
		assertThat(this.worker.isUsable()).isFalse();
		this.worker.update(infoOfIncarnation(200));
		assertThat(this.worker.isUsable()).isTrue();
	}

	@Test
	void aRestartKeepsTheRunsAndForgetsWhatWasAcknowledged() {
		this.worker.add(Run.starting(TASK, 1, "w", SIZE, 0));
		this.worker.run(TASK).orElseThrow().confirm(0);
		this.worker.markReachable();
		this.worker.terminations().markDurable(new TerminationSequence.Written(7, Set.of()), 1);
		assertThat(this.worker.acknowledgeableSequence(0)).isEqualTo(7);
		this.worker.restart(OptionalLong.of(200), 0);
		this.worker.markReachable();
		assertThat(this.worker.acknowledgeableSequence(0)).isZero();
		assertThat(this.worker.runCount()).isEqualTo(1);
		assertThat(this.worker.incarnation().tokenGeneration()).isEqualTo(1);
	}

	@Test
	void acknowledgesNothingWhileAStartIsUnanswered() {
		this.worker.markReachable();
		this.worker.terminations().markDurable(new TerminationSequence.Written(7, Set.of()), 1);
		this.worker.add(Run.starting(TASK, 1, "w", SIZE, 0));
		assertThat(this.worker.acknowledgeableSequence(0)).isZero();
		assertThat(this.worker.acknowledgeableSequence(TimeUnit.MILLISECONDS.toNanos(1990))).isZero();
	}

	@Test
	void acknowledgesAgainWhileAStartStaysUnanswered() {
		this.worker.markReachable();
		this.worker.terminations().markDurable(new TerminationSequence.Written(7, Set.of()), 1);
		this.worker.add(Run.starting(TASK, 1, "w", SIZE, 0));
		assertThat(this.worker.acknowledgeableSequence(TimeUnit.MILLISECONDS.toNanos(2000))).isEqualTo(7);
	}

	private static PollOutcome.Report reportOfIncarnation(long startedMillis) {
		return new PollOutcome.Report(OptionalLong.of(startedMillis), 5, List.of(), List.of(), true);
	}

	private static Run runWithEstimate(int index, long requestedMillis, long estimateMillis) {
		Run run = Run.starting(new TaskKey("job", 0, 0, index), 1, "w", SIZE,
				TimeUnit.MILLISECONDS.toNanos(requestedMillis));
		run.setEstimateMillis(estimateMillis);
		return run;
	}

	@Test
	void isIdleOnceTheEstimatedEndOfItsLastRunHasPassed() {
		assertThat(this.worker.millisUntilIdle(0)).isZero();
		this.worker.add(runWithEstimate(1, 0, 300));
		this.worker.add(runWithEstimate(2, 100, 600));
		assertThat(this.worker.millisUntilIdle(TimeUnit.MILLISECONDS.toNanos(200))).isEqualTo(500);
		this.worker.release(new TaskKey("job", 0, 0, 2));
		assertThat(this.worker.millisUntilIdle(TimeUnit.MILLISECONDS.toNanos(200))).isEqualTo(100);
		assertThat(this.worker.millisUntilIdle(TimeUnit.MILLISECONDS.toNanos(400))).isZero();
	}

}
