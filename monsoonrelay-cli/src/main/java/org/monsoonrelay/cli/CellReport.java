package org.monsoonrelay.cli;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.adapters.operator.WorkersRoom;
import org.monsoonrelay.cli.TargetVerdict.Verdict;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.model.job.TaskState;

/**
 * What a report says. Immutable.
 *
 * @param version version of the last accepted edit
 * @param targets how each declared target stands
 * @param penaltyCents sum of the penalties of the targets that are missed, in cents
 * @param waitingTasks number of waiting tasks by the reason of the wait
 * @param packedPercent share of the workers' processors that is committed, in percent;
 * {@code null} if no worker was heard of
 * @param workers number of workers heard of
 * @param missing processes from which no word came
 */
record CellReport(long version, List<TargetVerdict> targets, long penaltyCents, Map<WaitReason, Integer> waitingTasks,
		Double packedPercent, int workers, List<String> missing) {

	private static final double PERCENT = 100;

	static CellReport of(CellStatus status, List<TargetVerdict> targets) {
		long penalty = targets.stream()
			.filter((target) -> target.verdict() == Verdict.MISSED)
			.mapToLong(TargetVerdict::penaltyCents)
			.sum();
		return new CellReport(status.version(), targets, penalty, waiting(status.jobs()), packed(status.workers()),
				status.workers().workers(), status.missing());
	}

	private static Map<WaitReason, Integer> waiting(List<JobStatus> jobs) {
		Map<WaitReason, Integer> waiting = new TreeMap<>();
		for (JobStatus job : jobs) {
			int tasks = job.counts().getOrDefault(TaskState.WAITING, 0);
			if (tasks > 0) {
				waiting.merge(job.waitReason(), tasks, Integer::sum);
			}
		}
		return waiting;
	}

	private static Double packed(WorkersRoom room) {
		int capacity = room.capacity().processors();
		return (capacity != 0) ? (capacity - room.free().processors()) * PERCENT / capacity : null;
	}

}
