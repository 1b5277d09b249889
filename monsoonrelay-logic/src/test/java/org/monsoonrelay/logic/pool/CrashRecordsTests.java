package org.monsoonrelay.logic.pool;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.CrashEvidence;
import org.monsoonrelay.model.submission.CrashSuspicion;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskCrashes;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Crashes under tasks are part of a job's stored progress, which processes of earlier
 * releases read and write as well.
 */
class CrashRecordsTests {

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 1);

	private final SimulatedCell cell = new SimulatedCell();

	private SubmittedJob restore(String stored) throws JsonProcessingException {
		SubmittedJob job = new SubmittedJob(this.cell.submit("a", SimulatedCell.step(3, false)));
		job.restore(Json.readRow(stored, JobProgress.class));
		return job;
	}

	@Test
	void areReadBackAsWritten() throws JsonProcessingException {
		SubmittedJob job = new SubmittedJob(this.cell.submit("a", SimulatedCell.step(3, false)));
		job.recordCrash(TASK, CrashEvidence.CONFIRMED);
		job.recordCrash(TASK, CrashEvidence.POSSIBLE);
		job.recordStart(new TaskKey("a", 0, 0, 2));
		StepProgress read = restore(Json.write(job.toProgress())).progress(TASK.stepKey());
		assertThat(read.crashes(1)).isEqualTo(new TaskCrashes(1, 1));
		assertThat(read.tasksWithRecordedStart()).containsExactlyInAnyOrder(1, 2);
	}

	@Test
	void areMissingInRowsOfEarlierReleases() throws JsonProcessingException {
		String stored = """
				{"state":"RUNNING","steps":{"0.0":
				{"done":[0],"failedAttempts":{"1":[2]},"checkpoints":{},"highestAttempt":2}}}""";
		StepProgress read = restore(stored).progress(TASK.stepKey());
		assertThat(read.crashes(1).suspicion()).isEqualTo(CrashSuspicion.NONE);
		assertThat(read.maximumFailures()).isEqualTo(1);
	}

	@Test
	void ofEarlierReleasesNameNoStartSinceTheCrash() throws JsonProcessingException {
		String stored = """
				{"state":"RUNNING","steps":{"0.0":{"done":[],"failedAttempts":{},"checkpoints":{},
				"highestAttempt":2,"crashes":{"1":{"confirmed":2,"possible":1}}}}}""";
		StepProgress read = restore(stored).progress(TASK.stepKey());
		assertThat(read.crashes(1)).isEqualTo(new TaskCrashes(2, 1, false));
	}

	@Test
	void tellWhetherATaskWasStartedSinceItsLastCrash() throws JsonProcessingException {
		SubmittedJob job = new SubmittedJob(this.cell.submit("a", SimulatedCell.step(3, false)));
		job.recordStart(TASK);
		job.recordCrash(TASK, CrashEvidence.CONFIRMED);
		assertThat(restore(Json.write(job.toProgress())).progress(TASK.stepKey()).crashes(1))
			.isEqualTo(new TaskCrashes(1, 0, false));
		job.recordStart(TASK);
		assertThat(restore(Json.write(job.toProgress())).progress(TASK.stepKey()).crashes(1))
			.isEqualTo(new TaskCrashes(1, 0, true));
	}

	@Test
	void areSaidToBeMissingAfterAnOwnerOfAnEarlierRelease() {
		String row = """
				{"holder":"h","host":"old","epoch":3,"sequence":9,"released":true,"workers":[],"closed":{},
				"largest":null,"standbys":[],"confirming":true}""";
		this.cell.table.client()
			.commit(PartitionWrite.to(JobTables.POOL_PARTITION).put(JobTables.OWNER, JobTables.OWNER_KEY, row));
		this.cell.addScheduler();
		this.cell.time.runFor(3000);
		assertThat(this.cell.decisions)
			.contains(new PoolDecision.CrashRecordsMissing(3 + OwnerLease.TOKENS_PER_EPOCH, "old"));
	}

	@Test
	void areNotSaidToBeMissingAfterAnOwnerOfThisRelease() {
		this.cell.startOwnerAndStandby().kill();
		this.cell.time.runFor(3000);
		assertThat(this.cell.hasOwner()).isTrue();
		assertThat(this.cell.decisions).noneMatch(PoolDecision.CrashRecordsMissing.class::isInstance);
	}

}
