package org.monsoonrelay.logic.queue;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Optional;

import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.workload.QuotaUsage;

/**
 * The jobs of one team that are left to place in a scheduling round, with the quota
 * ledger of the team. Not thread-safe: confined to the control thread.
 */
final class TeamBacklog {

	private final TeamQueue queue;

	private final QuotaUsage ledger;

	private final Deque<Job> jobs = new ArrayDeque<>();

	TeamBacklog(TeamQueue queue, QuotaUsage ledger, Collection<Job> jobs) {
		this.queue = queue;
		this.ledger = ledger;
		this.jobs.addAll(jobs);
	}

	TeamQueue queue() {
		return this.queue;
	}

	QuotaUsage ledger() {
		return this.ledger;
	}

	Optional<Job> pollJob() {
		return Optional.ofNullable(this.jobs.poll());
	}

	void requeueFirst(Job job) {
		this.jobs.addFirst(job);
	}

	boolean hasJobs() {
		return !this.jobs.isEmpty();
	}

}
