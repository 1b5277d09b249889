package org.monsoonrelay.model.submission;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class SubmittedJobTests {

	private static final StepKey FIRST = new StepKey("a", 0, 0);

	private static final StepKey SECOND = new StepKey("a", 0, 1);

	private static StepSpec step(int count, boolean gang, Integer... dependsOn) {
		return new StepSpec(count, new Resources(1, 1, 0), 100, List.of(dependsOn), gang, false, "", "", 0, false,
				false, false, false);
	}

	private static SubmittedJob job(StepSpec... steps) {
		QueuePolicy policy = new QueuePolicy("q", "s", 0, 2, 2.0, 50, null);
		return new SubmittedJob(new Submission("a", policy, "", List.of(steps), Timetable.AT_ONCE, 1000));
	}

	private static SubmittedJob restored(SubmittedJob job) {
		SubmittedJob next = new SubmittedJob(job.submission());
		next.restore(job.toProgress());
		return next;
	}

	@Nested
	class Failures {

		@Test
		void areCountedOncePerAttemptInAnyOrderOfReports() {
			SubmittedJob job = job(step(1, false));
			assertThat(job.progress(FIRST).markFailed(0, 2)).isTrue();
			assertThat(job.progress(FIRST).markFailed(0, 1)).isTrue();
			assertThat(job.progress(FIRST).markFailed(0, 2)).isFalse();
			job.updateState(FIRST);
			assertThat(job.state()).isEqualTo(SubmissionState.FAILED);
		}

		@Test
		void arePreservedForTheNextOwner() {
			SubmittedJob job = job(step(1, false));
			job.progress(FIRST).markFailed(0, 2);
			SubmittedJob next = restored(job);
			assertThat(next.progress(FIRST).markFailed(0, 2)).isFalse();
			next.progress(FIRST).markFailed(0, 1);
			next.updateState(FIRST);
			assertThat(next.state()).isEqualTo(SubmissionState.FAILED);
		}

		@Test
		void ofDifferentTasksAreNotAdded() {
			SubmittedJob job = job(step(2, false));
			job.progress(FIRST).markFailed(0, 1);
			job.progress(FIRST).markFailed(1, 1);
			job.updateState(FIRST);
			assertThat(job.isEnded()).isFalse();
		}

		@Test
		void ofGangMembersCountOncePerAttempt() {
			SubmittedJob job = job(step(4, true));
			job.progress(FIRST).markFailed(0, 1);
			job.progress(FIRST).markFailed(3, 1);
			job.updateState(FIRST);
			assertThat(job.isEnded()).isFalse();
		}

	}

	@Nested
	class Completion {

		@Test
		void requiresEveryTaskOfEveryStep() {
			SubmittedJob job = job(step(2, false), step(3, true, 0));
			job.progress(FIRST).markDone(0);
			job.updateState(FIRST);
			assertThat(job.isReady(SECOND)).isFalse();
			job.progress(FIRST).markDone(1);
			assertThat(job.isReady(SECOND)).isTrue();
			job.updateState(FIRST);
			assertThat(job.isEnded()).isFalse();
			job.progress(SECOND).markDone(2);
			job.updateState(SECOND);
			assertThat(job.state()).isEqualTo(SubmissionState.COMPLETED);
		}

		@Test
		void isNotRevertedByACancellation() {
			SubmittedJob job = job(step(1, false));
			job.progress(FIRST).markDone(0);
			job.updateState(FIRST);
			job.cancel();
			assertThat(job.state()).isEqualTo(SubmissionState.COMPLETED);
		}

		@Test
		void isPreservedForTheNextOwner() {
			SubmittedJob job = job(step(2, false), step(1, false, 0));
			job.progress(FIRST).markDone(0);
			job.progress(FIRST).saveCheckpoint(1, "half");
			SubmittedJob next = restored(job);
			assertThat(next.progress(FIRST).isDone(0)).isTrue();
			assertThat(next.progress(FIRST).isDone(1)).isFalse();
			assertThat(next.progress(FIRST).checkpoint(1)).isEqualTo("half");
		}

	}

	@Nested
	class Deadlines {

		@Test
		void multiplyTheCriticalPathByTheSlackFactor() {
			SubmittedJob job = job(step(1, false), step(1, false), step(1, false, 0));
			assertThat(job.submission().deadlineMillis(0)).isEqualTo(1000 + 2 * 200 + 50);
			assertThat(job.submission().criticalPathMillis(2)).isEqualTo(100);
		}

	}

}
