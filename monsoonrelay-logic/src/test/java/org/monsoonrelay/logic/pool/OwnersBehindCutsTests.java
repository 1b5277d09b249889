package org.monsoonrelay.logic.pool;

import java.util.List;

import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.explain.LogLine;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An owner that is cut off from the table, from the other hosts and from the workers of
 * another failure domain for longer than all leases. Its successor reaches those workers
 * and no others.
 */
class OwnersBehindCutsTests {

	private static final long CUT_MILLIS = 25_000;

	private static final long RUN_MILLIS = 4000;

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private final SimulatedCell cell = new SimulatedCell();

	private SimulatedCell.Scheduler former;

	private SimulatedCell.Scheduler successor;

	@BeforeEach
	void startCell() {
		this.cell.workers.add("near", SimulatedCell.CAPACITY, "porto");
		this.cell.workers.add("far", SimulatedCell.CAPACITY, "gaia");
		this.former = this.cell.startOwnerAndStandby();
		this.successor = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
	}

	private void startOnFarWorker(StepSpec step, long runMillis) {
		this.cell.withRunMillis(runMillis);
		this.former.workerClient.disconnect("near");
		this.cell.time.runFor(600);
		this.cell.submit("a", step);
		this.cell.time.runFor(300);
		this.former.workerClient.reconnect("near");
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.workerRunning(TASK)).isEqualTo("far");
	}

	private void cutOff() {
		this.former.muteToPeers();
		this.former.tableClient.setDisconnected(true);
		this.former.workerClient.disconnect("far");
		this.successor.workerClient.disconnect("near");
		this.cell.time.runFor(CUT_MILLIS);
	}

	private void endCut() {
		this.former.tableClient.setDisconnected(false);
		this.former.workerClient.reconnect("far");
		this.successor.workerClient.reconnect("near");
		this.cell.time.runFor(CUT_MILLIS);
	}

	@Nested
	class ATaskThatTheSuccessorHasAccountedFor {

		@Test
		void isNotStartedAgainWhenItsWorkerIsSilent() {
			startOnFarWorker(SimulatedCell.step(1, false), RUN_MILLIS);
			cutOff();
			endCut();
			OwnersBehindCutsTests.this.cell.assertCompleted("a");
		}

		@Test
		void isLoggedAsHeldBackByTheFormerOwner() {
			startOnFarWorker(SimulatedCell.step(1, false), RUN_MILLIS);
			cutOff();
			List<LogLine> story = OwnersBehindCutsTests.this.cell.logs.story("a").lines();
			assertThat(story).extracting((line) -> line.source() + ' ' + line.event())
				.containsSubsequence("s0first TaskPlaced", "s0first OwnershipUnconfirmed", "s0first TaskLost",
						"s0first TaskHeldBack", "s1first OwnershipTaken", "s1first TaskEnded", "s1first JobEnded");
			assertThat(OwnersBehindCutsTests.this.cell.decisions).filteredOn(JobDecision.TaskHeldBack.class::isInstance)
				.singleElement(InstanceOfAssertFactories.type(JobDecision.TaskHeldBack.class))
				.satisfies((heldBack) -> assertThat(heldBack.renewalAgeMillis())
					.isGreaterThan(OwnerLease.MAX_WORKER_LEASE_MILLIS));
		}

		@Test
		void isNotStartedAgainWhenItsDrainingWorkerIsSilent() {
			startOnFarWorker(SimulatedCell.step(1, false), RUN_MILLIS);
			OwnersBehindCutsTests.this.cell.workers.drain("far");
			OwnersBehindCutsTests.this.cell.time.runFor(500);
			cutOff();
			endCut();
			OwnersBehindCutsTests.this.cell.assertCompleted("a");
		}

		@Test
		void isNotStartedBesideItsLongRunThatTheSuccessorKeepsAlive() {
			StepSpec longRunning = new StepSpec(1, SimulatedCell.TASK, RUN_MILLIS, List.of(), false, false, "", "", 0,
					false, false, true, false);
			startOnFarWorker(longRunning, Integer.MAX_VALUE);
			OwnersBehindCutsTests.this.cell.time.runFor(12_000);
			cutOff();
			endCut();
			assertThat(OwnersBehindCutsTests.this.cell.workers.violations()).isEmpty();
			assertThat(OwnersBehindCutsTests.this.cell.workers.startCount(TASK)).isEqualTo(1);
		}

	}

}
