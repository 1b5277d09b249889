package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.CrashSuspicion;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectedRunsTests {

	private static final TaskKey TASK = new TaskKey("job", 0, 0, 0);

	private static final Resources SIZE = new Resources(200, 100, 0);

	private final SuspectedRuns suspected = new SuspectedRuns();

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private Run add(Run run, CrashSuspicion suspicion) {
		run.setSuspicion(suspicion);
		this.suspected.add(run);
		return run;
	}

	private Run addIsolated(long requestedMillis) {
		return add(Run.starting(TASK, 1, "w", SIZE, nanos(requestedMillis)), CrashSuspicion.ISOLATED);
	}

	@Test
	void areOnProbationUntilTheWorkerAnswersOneSecondAfterItConfirmedTheStart() {
		addIsolated(0).confirm(nanos(30));
		this.suspected.workerAnswered(nanos(1029));
		assertThat(this.suspected.hasIsolatedOnProbation()).isTrue();
		assertThat(this.suspected.hasAnyOnProbationOfAnother("other")).isTrue();
		this.suspected.workerAnswered(nanos(1030));
		assertThat(this.suspected.hasIsolatedOnProbation()).isFalse();
		assertThat(this.suspected.hasAnyOnProbationOfAnother("other")).isFalse();
		assertThat(this.suspected.hasIsolatedOfAnother("other")).isTrue();
	}

	@Test
	void areOnProbationWhileTheirStartIsNotConfirmed() {
		addIsolated(0);
		this.suspected.workerAnswered(nanos(5000));
		assertThat(this.suspected.hasIsolatedOnProbation()).isTrue();
		assertThat(this.suspected.millisUntilProbationEnds(nanos(5000), 700)).isEqualTo(700);
	}

	@Test
	void beginTheirProbationAgainWithTheirAdoption() {
		RunningTask reported = new RunningTask(TASK, 3, "", 100, 0);
		add(Run.adopted(reported, "w", SIZE, nanos(9000)), CrashSuspicion.ISOLATED);
		this.suspected.workerAnswered(nanos(9999));
		assertThat(this.suspected.hasIsolatedOnProbation()).isTrue();
		this.suspected.workerAnswered(nanos(10_000));
		assertThat(this.suspected.hasIsolatedOnProbation()).isFalse();
	}

	@Test
	void stayOffProbationWhileTheyAreStopped() {
		Run run = addIsolated(0);
		run.confirm(0);
		this.suspected.workerAnswered(nanos(1000));
		run.markStopping();
		run.confirm(nanos(1500));
		assertThat(this.suspected.hasIsolatedOnProbation()).isFalse();
	}

	@Test
	void tellWhenAnAnswerEndsTheNextProbation() {
		assertThat(this.suspected.millisUntilProbationEnds(0, 700)).isEqualTo(700);
		addIsolated(0).confirm(0);
		assertThat(this.suspected.millisUntilProbationEnds(nanos(200), 700)).isEqualTo(700);
		assertThat(this.suspected.millisUntilProbationEnds(nanos(600), 700)).isEqualTo(400);
		assertThat(this.suspected.millisUntilProbationEnds(nanos(1000) - 1, 700)).isEqualTo(1);
		assertThat(this.suspected.millisUntilProbationEnds(nanos(1200), 700)).isZero();
		this.suspected.workerAnswered(nanos(1200));
		assertThat(this.suspected.millisUntilProbationEnds(nanos(1200), 700)).isEqualTo(700);
	}

	@Test
	void doNotConcernTasksOfTheirOwnJob() {
		addIsolated(0);
		assertThat(this.suspected.countIsolatedOf("job", true)).isEqualTo(1);
		assertThat(this.suspected.countIsolatedOf("job", false)).isZero();
		assertThat(this.suspected.hasIsolatedOnProbationOfAnother("job")).isFalse();
		assertThat(this.suspected.hasAnyOnProbationOfAnother("job")).isFalse();
		assertThat(this.suspected.hasAnyOfAnother("job")).isFalse();
	}

	@Test
	void areOnlyThoseOfSuspectedTasks() {
		add(Run.starting(TASK, 1, "w", SIZE, 0), CrashSuspicion.NONE);
		assertThat(this.suspected.hasAnyOfAnother("other")).isFalse();
	}

}
