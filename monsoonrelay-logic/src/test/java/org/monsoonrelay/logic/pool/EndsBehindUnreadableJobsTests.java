package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against jobs that never end because their ends are listed after those of a job
 * whose row cannot be read.
 */
class EndsBehindUnreadableJobsTests {

	private final SimulatedCell cell = new SimulatedCell()
		.withRunMillis((task) -> task.job().equals("other") ? 1000 : 1500);

	@Test
	void areReadOnceTheRowCanBeReadAgainWhileLaterJobsGoOn() {
		this.cell.workers.setMaxListedEnds(5);
		this.cell.workers.add("w", new Resources(200_000, 100_000, 0));
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(1000);
		Submission other = this.cell.submit("other", SimulatedCell.step(6, false));
		this.cell.submit("known", SimulatedCell.step(4, false));
		this.cell.time.runFor(500);
		owner.kill();
		this.cell.table.client()
			.commit(PartitionWrite.to(JobTables.POOL_PARTITION).put(JobTables.PROGRESS, "other", "{"));
		this.cell.time.runFor(2000);
		this.cell.restart(owner);
		this.cell.time.runFor(20_000);
		this.cell.workers.add("x", new Resources(200_000, 100_000, 0));
		this.cell.submit("later", SimulatedCell.step(4, false));
		this.cell.time.runFor(5000);
		this.cell.assertCompleted("later");
		this.cell.table.client()
			.commit(PartitionWrite.to(JobTables.POOL_PARTITION)
				.put(JobTables.PROGRESS, "other", Json.write(new SubmittedJob(other).toProgress())));
		this.cell.time.runFor(5000);
		this.cell.assertCompleted("known");
		this.cell.assertCompleted("other");
		assertThat(this.cell.workers.startCount(new TaskKey("known", 0, 0, 0))).isEqualTo(1);
		assertThat(this.cell.workers.startCount(new TaskKey("other", 0, 0, 0))).isEqualTo(1);
	}

	@Test
	void areReadAlthoughTheListIsFullOfEndsThatCannotBeAcknowledged() {
		this.cell.workers.setMaxListedEnds(5);
		this.cell.workers.add("w", new Resources(200_000, 100_000, 0));
		this.cell.workers.add("x", new Resources(200_000, 100_000, 0));
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(1000);
		this.cell.submit("other", SimulatedCell.step(12, false));
		this.cell.submit("known", SimulatedCell.step(4, false));
		this.cell.time.runFor(500);
		owner.kill();
		this.cell.table.client()
			.commit(PartitionWrite.to(JobTables.POOL_PARTITION).put(JobTables.PROGRESS, "other", "{"));
		this.cell.time.runFor(2000);
		this.cell.restart(owner);
		this.cell.time.runFor(40_000);
		assertThat(this.cell.workers.startCount(new TaskKey("known", 0, 0, 0))).isEqualTo(1);
		this.cell.assertCompleted("known");
	}

}
