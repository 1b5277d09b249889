package org.monsoonrelay.cli;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.cli.TargetVerdict.Verdict;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.Target;
import org.monsoonrelay.model.workload.Workload;

/**
 * Judges declared targets by what the owners of the queues told. Invariant: a target for
 * which a measurement is missing is unknown, never guessed. Immutable and thread-safe.
 */
final class TargetJudge {

	private final CellStatus status;

	private final Instant now;

	TargetJudge(CellStatus status, Instant now) {
		this.status = status;
		this.now = now;
	}

	List<TargetVerdict> judge(CellText text) {
		List<TargetVerdict> verdicts = new ArrayList<>();
		for (Workload workload : text.workloads()) {
			workload.targets().forEach((target) -> verdicts.add(judge(workload, target)));
		}
		return verdicts;
	}

	private TargetVerdict judge(Workload workload, Target target) {
		return switch (target.kind()) {
			case FINISH_BY -> finish(workload, target);
			case START_WITHIN -> verdict(workload, target, Verdict.UNKNOWN, "waits are not kept for each task");
			case ANSWER_WITHIN -> verdict(workload, target, Verdict.UNKNOWN,
					"answers are not measured for each operation over the whole cell");
		};
	}

	private TargetVerdict finish(Workload workload, Target target) {
		Optional<JobStatus> told = this.status.jobs()
			.stream()
			.filter((job) -> job.id().equals(workload.id()))
			.findFirst();
		if (told.isEmpty()) {
			return verdict(workload, target, Verdict.UNKNOWN, "no owner of the team's queue has told");
		}
		Instant finished = told.get().finishedAt();
		if (finished != null) {
			boolean met = !finished.isAfter(target.by());
			return verdict(workload, target, met ? Verdict.MET : Verdict.MISSED, "finished at " + finished);
		}
		boolean never = told.get().counts().containsKey(TaskState.FAILED)
				|| told.get().counts().containsKey(TaskState.CANCELLED);
		if (never) {
			return verdict(workload, target, Verdict.MISSED, "tasks failed for good or were cancelled");
		}
		if (told.get().waitReason() == WaitReason.RECOVERING) {
			return verdict(workload, target, Verdict.UNKNOWN, "the queue's owner is still learning what has run");
		}
		return this.now.isAfter(target.by()) ? verdict(workload, target, Verdict.MISSED, "not finished yet")
				: verdict(workload, target, Verdict.UNKNOWN, "not due before " + target.by());
	}

	private static TargetVerdict verdict(Workload workload, Target target, Verdict verdict, String detail) {
		return new TargetVerdict(workload.id().toString(), target.name(), verdict, target.penaltyCents(), detail);
	}

}
