package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverLoadingTests {

	private static final long LEASE_EXPIRED_MILLIS = 10_000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	@Test
	void anUnresponsivePartitionDelaysItsOwnJobsOnly() {
		this.cell.withRunMillis(3000);
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.submit("silent", SimulatedCell.step(1, false));
		this.cell.submit("other", SimulatedCell.step(1, false), SimulatedCell.step(1, false, 0));
		this.cell.time.runFor(300);
		assertThat(JobTables.partition("silent")).isNotEqualTo(JobTables.partition("other"));
		this.cell.table.blockReads(JobTables.partition("silent"));
		first.kill();
		this.cell.submit("new", SimulatedCell.step(1, false));
		this.cell.time.runFor(8000);
		this.cell.assertCompleted("other", "new");
		this.cell.time.runFor(4000);
		this.cell.table.blockReads("");
		this.cell.time.runFor(2000);
		this.cell.assertCompleted("silent");
		assertThat(this.cell.workers.startCount(new TaskKey("silent", 0, 0, 0))).isEqualTo(1);
	}

	@Test
	void waitingJobsAreCountedDuringATakeOver() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		for (int i = 0; i < 8; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(12, true));
		}
		this.cell.time.runFor(450);
		int before = this.cell.pendingCount();
		assertThat(before).isGreaterThan(2);
		first.kill();
		this.cell.table.setReadLatency(450);
		for (int i = 0; i < 400 && !this.cell.hasOwner(); i++) {
			this.cell.time.runFor(10);
		}
		for (int i = 0; i < 200; i++) {
			this.cell.time.runFor(5);
			assertThat(this.cell.pendingCount()).isGreaterThanOrEqualTo(before / 2);
		}
	}

	@Test
	void failuresThatWereNotDurableCountInAnyOrder() {
		SimulatedCell cell = new SimulatedCell();
		cell.workers.add("w0", SimulatedCell.CAPACITY).setFailing(true);
		cell.workers.add("w1", SimulatedCell.CAPACITY).setFailing(true);
		SimulatedCell.Scheduler first = cell.addScheduler();
		cell.time.runFor(500);
		cell.submit("a", 2, SimulatedCell.step(1, false));
		cell.time.runFor(150);
		cell.table.setDown(true);
		cell.time.runFor(1200);
		first.kill();
		cell.table.setDown(false);
		SimulatedCell.Scheduler next = cell.addScheduler();
		next.workerClient.disconnect("w0");
		cell.time.runFor(4000);
		next.workerClient.reconnect("w0");
		cell.time.runFor(LEASE_EXPIRED_MILLIS);
		assertThat(cell.durableState("a")).isEqualTo(SubmissionState.FAILED);
		assertThat(cell.workers.startCount(new TaskKey("a", 0, 0, 0))).isEqualTo(2);
	}

	@Test
	void aStandbyThatTakesOverReadsNoPartition() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
		this.cell.withRunMillis(2000);
		this.cell.submit("running", SimulatedCell.step(3, false), SimulatedCell.step(2, false, 0));
		this.cell.time.runFor(700);
		this.cell.table.setReadLatency(60_000);
		first.kill();
		this.cell.withRunMillis(SimulatedCell.RUN_MILLIS).submit("new", SimulatedCell.step(2, false));
		this.cell.time.runFor(4000);
		this.cell.assertCompleted("running", "new");
	}

	@Test
	void anOwnerWithASlowTableStartsWorkOnceTheJobsAreLoaded() {
		this.cell.submit("a", SimulatedCell.step(3, false));
		this.cell.table.setReadLatency(700);
		this.cell.addScheduler();
		this.cell.time.runFor(4000);
		this.cell.assertCompleted("a");
	}

	@Test
	void anOwnerOfARestartedCellLoadsAllJobsAndAccountsForItsWorkers() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		for (int i = 0; i < 40; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(3, i % 3 == 0));
			this.cell.time.runFor(60);
		}
		this.cell.schedulers.forEach(SimulatedCell.Scheduler::kill);
		this.cell.schedulers.clear();
		this.cell.table.setReadLatency(30);
		this.cell.time.runFor(1000);
		this.cell.decisions.clear();
		this.cell.addScheduler("restarted");
		this.cell.time.runFor(1000);
		assertThat(this.cell.decisions).hasAtLeastOneElementOfType(PoolDecision.OwnershipSettled.class)
			.hasAtLeastOneElementOfType(PoolDecision.WorkersAccounted.class);
		this.cell.time.runFor(3000);
		assertThat(first.owner()).isEmpty();
		for (int i = 0; i < 40; i++) {
			this.cell.assertCompleted("job" + i);
		}
	}

}
