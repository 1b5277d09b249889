package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * Counts the jobs of each queue of which no task has started. Invariant: a job is counted
 * once, according to its state at its last update. Not thread-safe: confined to the
 * control thread.
 */
final class QueuedJobs {

	private final Set<String> jobs = new HashSet<>();

	private final Map<String, Integer> countByQueue = new HashMap<>();

	/**
	 * Counts a job that is new or whose state may have changed.
	 * @param job the job
	 */
	void update(SubmittedJob job) {
		String queue = job.submission().policy().queue();
		if (job.state() == SubmissionState.QUEUED) {
			if (this.jobs.add(job.id())) {
				this.countByQueue.merge(queue, 1, Integer::sum);
			}
		}
		else if (this.jobs.remove(job.id())) {
			this.countByQueue.computeIfPresent(queue, (name, count) -> (count > 1) ? count - 1 : null);
		}
	}

	int count() {
		return this.jobs.size();
	}

	QueueSummary summary() {
		return new QueueSummary(this.countByQueue);
	}

}
