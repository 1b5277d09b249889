package org.monsoonrelay.logic.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.JobTables;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an owner that takes a write for undone, or another write for the one
 * that took effect, because a repetition of it was refused.
 */
class UnansweredWritesTests {

	private static final long RUN_MILLIS = 500;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(2).withRunMillis(RUN_MILLIS);

	private final Deque<WriteAnswer> answers = new ArrayDeque<>();

	private boolean onlyRenewals;

	private static boolean hasProgress(PartitionWrite write) {
		return write.puts().stream().anyMatch((put) -> put.table().equals(JobTables.PROGRESS));
	}

	private WriteAnswer nextAnswer(PartitionWrite write) {
		if (this.onlyRenewals && hasProgress(write)) {
			return WriteAnswer.USUAL;
		}
		this.onlyRenewals = false;
		return this.answers.isEmpty() ? WriteAnswer.USUAL : this.answers.poll();
	}

	private void answerNext(SimulatedCell.Scheduler owner, WriteAnswer... next) {
		this.answers.addAll(List.of(next));
		owner.tableClient.answerWrites(this::nextAnswer);
	}

	@Nested
	class ARenewalWithoutAnAnswerWhoseRepetitionIsRefused {

		// Guards against acknowledging ends that no row tells of.
		@Test
		void isNotTakenForTheWriteWithTheEndsThatCameMeanwhile() {
			SimulatedCell cell = UnansweredWritesTests.this.cell;
			SimulatedCell.Scheduler owner = cell.startOwnerAndStandby();
			cell.time.runFor(12_000);
			cell.submit("a", SimulatedCell.step(2, false), SimulatedCell.step(2, false, 0));
			cell.time.runFor(200);
			UnansweredWritesTests.this.onlyRenewals = true;
			answerNext(owner, WriteAnswer.doneUnanswered(), WriteAnswer.refused());
			cell.time.runFor(1800);
			owner.stop();
			cell.time.runFor(5000);
			cell.assertCompleted("a");
			assertThat(cell.decisions).hasAtLeastOneElementOfType(PoolDecision.OwnershipTaken.class);
		}

	}

	@Nested
	class TheOnlyHost {

		// Guards against a pool without an owner on a cell with one host.
		@Test
		void goesOnAfterAWriteWithoutAnAnswerWhoseRepetitionIsRefused() {
			SimulatedCell cell = UnansweredWritesTests.this.cell;
			cell.startOwnerAndStandby().kill();
			cell.time.runFor(4000);
			answerNext(cell.owner(), WriteAnswer.doneUnanswered(), WriteAnswer.refused());
			cell.time.runFor(3000);
			cell.submit("a", SimulatedCell.step(2, false));
			cell.time.runFor(3000);
			cell.assertCompleted("a");
		}

	}

}
