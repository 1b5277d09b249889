package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverLoadingTests {

	private static final long LEASE_OVER_MILLIS = 10_000;

	private final PoolCell cell = new PoolCell().withWorkers(3);

	@Test
	void aPartitionOfJobsThatIsSilentHoldsUpItsOwnJobsAlone() {
		this.cell.withRunsOf(3000);
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		this.cell.submit("silent", PoolCell.step(1, false));
		this.cell.submit("other", PoolCell.step(1, false), PoolCell.step(1, false, 0));
		this.cell.time.runFor(300);
		assertThat(JobTables.partition("silent")).isNotEqualTo(JobTables.partition("other"));
		this.cell.table.silence(JobTables.partition("silent"));
		first.kill();
		this.cell.submit("new", PoolCell.step(1, false));
		this.cell.time.runFor(8000);
		this.cell.assertServed("other", "new");
		this.cell.time.runFor(4000);
		this.cell.table.silence("");
		this.cell.time.runFor(2000);
		this.cell.assertServed("silent");
		assertThat(this.cell.workers.startsOf(new TaskKey("silent", 0, 0, 0))).isEqualTo(1);
	}

	@Test
	void jobsThatWaitAreCountedAllTheWhile() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		for (int i = 0; i < 8; i++) {
			this.cell.submit("job" + i, PoolCell.step(12, true));
		}
		this.cell.time.runFor(450);
		int before = this.cell.pending();
		assertThat(before).isGreaterThan(2);
		first.kill();
		this.cell.table.readsTake(450);
		for (int i = 0; i < 400 && !this.cell.isOwned(); i++) {
			this.cell.time.runFor(10);
		}
		for (int i = 0; i < 200; i++) {
			this.cell.time.runFor(5);
			assertThat(this.cell.pending()).isGreaterThanOrEqualTo(before / 2);
		}
	}

	@Test
	void failuresThatWereNotDurableCountInWhateverOrderTheyAreSeen() {
		PoolCell cell = new PoolCell();
		cell.workers.add("w0", PoolCell.CAPACITY).fails(true);
		cell.workers.add("w1", PoolCell.CAPACITY).fails(true);
		PoolCell.Scheduler first = cell.addScheduler();
		cell.time.runFor(500);
		cell.submit("a", 2, PoolCell.step(1, false));
		cell.time.runFor(150);
		cell.table.down(true);
		cell.time.runFor(1200);
		first.kill();
		cell.table.down(false);
		PoolCell.Scheduler next = cell.addScheduler();
		next.workerClient.cut("w0");
		cell.time.runFor(4000);
		next.workerClient.join("w0");
		cell.time.runFor(LEASE_OVER_MILLIS);
		assertThat(cell.durableState("a")).isEqualTo(SubmissionState.FAILED);
		assertThat(cell.workers.startsOf(new TaskKey("a", 0, 0, 0))).isEqualTo(2);
	}

	@Test
	void aSuccessorThatStoodReadyReadsNoPartition() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		this.cell.time.runFor(PoolCell.READY_MILLIS);
		this.cell.withRunsOf(2000);
		this.cell.submit("running", PoolCell.step(3, false), PoolCell.step(2, false, 0));
		this.cell.time.runFor(700);
		this.cell.table.readsTake(60_000);
		first.kill();
		this.cell.withRunsOf(PoolCell.RUN_MILLIS).submit("new", PoolCell.step(2, false));
		this.cell.time.runFor(4000);
		this.cell.assertServed("running", "new");
	}

	@Test
	void anOwnerThatStartsBesideASlowTableBeginsOnceItHasLoaded() {
		this.cell.submit("a", PoolCell.step(3, false));
		this.cell.table.readsTake(700);
		this.cell.addScheduler();
		this.cell.time.runFor(4000);
		this.cell.assertServed("a");
	}

	@Test
	void anOwnerOfARestartedCellSettlesAndAccountsForItsWorkers() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		for (int i = 0; i < 40; i++) {
			this.cell.submit("job" + i, PoolCell.step(3, i % 3 == 0));
			this.cell.time.runFor(60);
		}
		this.cell.schedulers.forEach(PoolCell.Scheduler::kill);
		this.cell.schedulers.clear();
		this.cell.table.readsTake(30);
		this.cell.time.runFor(1000);
		this.cell.decisions.clear();
		this.cell.addScheduler("restarted");
		this.cell.time.runFor(1000);
		assertThat(this.cell.decisions).hasAtLeastOneElementOfType(PoolDecision.OwnershipSettled.class)
			.hasAtLeastOneElementOfType(PoolDecision.WorkersAccounted.class);
		this.cell.time.runFor(3000);
		assertThat(first.owner).isEmpty();
		for (int i = 0; i < 40; i++) {
			this.cell.assertServed("job" + i);
		}
	}

}
