package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which starts the simulation reports as repetitions of a task that has ended.
 */
class AcknowledgedEndsTests {

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private static final Object WORKER = "w0";

	private static final long TOKEN = 100;

	private static final long ACKNOWLEDGED_MILLIS = 5000;

	private final List<String> violations = new ArrayList<>();

	private final AcknowledgedEnds ends = new AcknowledgedEnds(this.violations::add);

	private final TerminatedTask end = new TerminatedTask(1, TASK, 1, TerminationReason.DONE, "");

	private void runToItsEnd() {
		this.ends.started(TASK, TOKEN, 0);
		this.ends.ended(WORKER, this.end);
	}

	private void acknowledge() {
		this.ends.acknowledged(WORKER, this.end, TOKEN, ACKNOWLEDGED_MILLIS);
	}

	@Test
	void aStartOrderedBeforeAnEndWasAcknowledgedAfterALapseIsNotReported() {
		runToItsEnd();
		this.ends.leaseLapsed(WORKER);
		acknowledge();
		this.ends.started(TASK, TOKEN, ACKNOWLEDGED_MILLIS - 1);
		assertThat(this.violations).isEmpty();
	}

	@Test
	void aStartOrderedAfterAnEndWasAcknowledgedAfterALapseIsReported() {
		runToItsEnd();
		this.ends.leaseLapsed(WORKER);
		acknowledge();
		this.ends.started(TASK, TOKEN, ACKNOWLEDGED_MILLIS);
		assertThat(this.violations).containsExactly("start after the acknowledged termination of " + TASK);
	}

	@Test
	void aStartByAnOwnerThatWasSupersededBeforeTheAcknowledgementAfterALapseIsNotReported() {
		runToItsEnd();
		this.ends.leaseLapsed(WORKER);
		acknowledge();
		this.ends.started(TASK, TOKEN - 1, ACKNOWLEDGED_MILLIS + 1);
		assertThat(this.violations).isEmpty();
	}

	@Test
	void aLateStartAfterAnEndThatWasAcknowledgedWithoutALapseIsReportedWheneverItWasOrdered() {
		runToItsEnd();
		acknowledge();
		this.ends.started(TASK, TOKEN, ACKNOWLEDGED_MILLIS - 1);
		assertThat(this.violations).containsExactly("start after the acknowledged termination of " + TASK);
	}

	@Test
	void aLapseBeforeTheEndExemptsNoStart() {
		this.ends.started(TASK, TOKEN, 0);
		this.ends.leaseLapsed(WORKER);
		this.ends.ended(WORKER, this.end);
		acknowledge();
		this.ends.started(TASK, TOKEN, ACKNOWLEDGED_MILLIS - 1);
		assertThat(this.violations).hasSize(1);
	}

	@Test
	void aStartAfterTheLastAllowedFailureIsReported() {
		this.ends.limitFailures(2);
		for (int attempt = 1; attempt <= 3; attempt++) {
			assertThat(this.violations).isEmpty();
			TerminatedTask failure = new TerminatedTask(attempt, TASK, attempt, TerminationReason.FAILED, "");
			this.ends.started(TASK, TOKEN, 0);
			this.ends.ended(WORKER, failure);
			this.ends.acknowledged(WORKER, failure, TOKEN, ACKNOWLEDGED_MILLIS);
		}
		assertThat(this.violations).containsExactly("start after the last allowed failure of " + TASK);
	}

	@Test
	void aLapseOfAnotherWorkerExemptsNoStart() {
		runToItsEnd();
		this.ends.leaseLapsed("w1");
		acknowledge();
		this.ends.started(TASK, TOKEN, ACKNOWLEDGED_MILLIS - 1);
		assertThat(this.violations).hasSize(1);
	}

	@Test
	void aStartBetweenAnEndAndItsAcknowledgementIsReported() {
		runToItsEnd();
		this.ends.started(TASK, TOKEN, 1);
		acknowledge();
		assertThat(this.violations).containsExactly("start before the acknowledgement of the termination of " + TASK);
	}

	@Test
	void aStartBetweenAnEndAndItsAcknowledgementAfterALapseIsNotReported() {
		runToItsEnd();
		this.ends.leaseLapsed(WORKER);
		this.ends.started(TASK, TOKEN, 1);
		acknowledge();
		assertThat(this.violations).isEmpty();
	}

}
