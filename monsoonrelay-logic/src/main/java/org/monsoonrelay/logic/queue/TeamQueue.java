package org.monsoonrelay.logic.queue;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Queue with the jobs of one team, under one epoch of its ownership. No job is placed
 * until the queue is activated. Not thread-safe: confined to the control thread.
 */
final class TeamQueue {

	private final long epoch;

	private final Map<JobId, Job> jobs = new TreeMap<>();

	private final Set<JobId> loadingJobs = new HashSet<>();

	private final Set<JobId> initiallyDeclared = new HashSet<>();

	private boolean active;

	TeamQueue(long epoch) {
		this.epoch = epoch;
	}

	/**
	 * Return the resources used by the open attempts of all jobs.
	 * @return the sum
	 */
	Resources usedResources() {
		Resources used = Resources.NONE;
		for (Job job : this.jobs.values()) {
			used = used.plus(job.workload().size().times(job.openCount()));
		}
		return used;
	}

	/**
	 * Return the jobs that are not final, in placement order: services first, then by the
	 * time since which they have been ready.
	 * @return the jobs
	 */
	List<Job> unfinishedJobsInPlacementOrder() {
		return this.jobs.values()
			.stream()
			.filter((job) -> !job.isFinal())
			.sorted(Comparator.comparing((Job job) -> job.workload().kind() != WorkloadKind.SERVICE)
				.thenComparing(Job::readySince)
				.thenComparing(Job::id))
			.toList();
	}

	long epoch() {
		return this.epoch;
	}

	Map<JobId, Job> jobs() {
		return this.jobs;
	}

	Set<JobId> loadingJobs() {
		return this.loadingJobs;
	}

	/**
	 * Record which jobs were declared when the queue was first loaded. Ignored if jobs
	 * have been recorded already.
	 * @param declared the declared jobs of all teams
	 */
	void recordInitiallyDeclared(Set<JobId> declared) {
		if (this.initiallyDeclared.isEmpty()) {
			this.initiallyDeclared.addAll(declared);
		}
	}

	/**
	 * Return whether a job was declared after the queue was first loaded, so that it
	 * cannot have a stored record yet.
	 * @param id the job
	 * @return {@code true} if it was declared later
	 */
	boolean isDeclaredAfterLoad(JobId id) {
		return !this.initiallyDeclared.isEmpty() && !this.initiallyDeclared.contains(id);
	}

	boolean isActive() {
		return this.active;
	}

	void activate() {
		this.active = true;
	}

}
