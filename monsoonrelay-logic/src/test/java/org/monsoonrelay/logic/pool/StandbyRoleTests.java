package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.CatchUp;
import org.monsoonrelay.logic.platform.ObservedTable;
import org.monsoonrelay.logic.submission.StoredProgress;
import org.monsoonrelay.model.submission.Submission;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that follow the jobs for as long as they run although they were a
 * standby only for a moment.
 */
class StandbyRoleTests {

	private static final long CHECK_MILLIS = 500;

	private final SimulatedCell cell = new SimulatedCell();

	private int answers;

	private final JobTableReplica jobs = new JobTableReplica(
			new ObservedTable(this.cell.table.client(), () -> this.answers++), this.cell.time, this.cell.unreadable,
			this.cell.time.clock());

	private final StandbyRole role = new StandbyRole(this.jobs, this.cell.time.clock(), DecisionLog.NONE);

	private final Jobs owner = new Jobs();

	@BeforeEach
	void submitJobs() {
		this.cell.submit("0000000000000001", SimulatedCell.step(1, false));
		this.cell.submit("0000000000000002", SimulatedCell.step(1, false));
	}

	private void update(boolean isSelected, long millis) {
		for (long passed = 0; passed < millis; passed += CHECK_MILLIS) {
			this.role.update(isSelected);
			this.cell.time.runFor(CHECK_MILLIS);
		}
	}

	@Test
	void ofAHostThatWasNeverSelectedReadsNothing() {
		update(false, StandbyRole.GRACE_MILLIS * 2);
		assertThat(this.answers).isZero();
	}

	@Test
	void ofAHostThatIsNotSelectedAnyMoreReadsNothingAfterAGracePeriod() {
		update(true, 2000);
		update(false, StandbyRole.GRACE_MILLIS);
		assertThat(this.answers).isPositive();
		update(false, 2000);
		this.answers = 0;
		update(false, 5000);
		assertThat(this.answers).isZero();
	}

	@Test
	void ofAHostThatTakesOverLaterDeliversAllJobs() {
		update(true, 2000);
		update(false, StandbyRole.GRACE_MILLIS + 2000);
		this.cell.submit("0000000000000003", SimulatedCell.step(1, false));
		this.jobs.attach(this.owner, 0);
		update(false, 2000);
		assertThat(this.owner.submitted).containsExactlyInAnyOrder("0000000000000001", "0000000000000002",
				"0000000000000003");
		assertThat(this.owner.allLoaded).isTrue();
	}

	@Test
	void ofTheOwnerKeepsItsReplica() {
		update(true, 2000);
		this.jobs.attach(this.owner, 0);
		update(false, StandbyRole.GRACE_MILLIS + 2000);
		this.cell.submit("0000000000000003", SimulatedCell.step(1, false));
		update(false, 2000);
		assertThat(this.owner.submitted).contains("0000000000000003");
	}

	@Test
	void ofAFormerOwnerKeepsItsReplicaForTheGracePeriod() {
		update(true, 2000);
		this.jobs.attach(this.owner, 0);
		update(false, StandbyRole.GRACE_MILLIS + 2000);
		this.jobs.detach(this.owner);
		update(false, StandbyRole.GRACE_MILLIS - 2000);
		this.answers = 0;
		update(false, 1500);
		assertThat(this.answers).isPositive();
		update(false, 2000);
		this.answers = 0;
		update(false, 5000);
		assertThat(this.answers).isZero();
	}

	private static final class Jobs implements JobReplicaListener {

		private final List<String> submitted = new ArrayList<>();

		private boolean allLoaded;

		@Override
		public void submitted(Submission submission, Optional<StoredProgress> progress, long version) {
			this.submitted.add(submission.id());
		}

		@Override
		public void alreadyEnded(String job) {
		}

		@Override
		public void cancelled(String job) {
		}

		@Override
		public void changed() {
		}

		@Override
		public void progressLoaded(CatchUp read, int missedRows, int unfinishedJobs, int endedJobs) {
		}

		@Override
		public void progressReceivedLate(String job, StoredProgress progress) {
		}

		@Override
		public void allLoaded() {
			this.allLoaded = true;
		}

	}

}
