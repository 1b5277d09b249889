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
 * The jobs of one team under one ownership. Places nothing until it is active. Not
 * thread-safe: confined to the control thread.
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

	Resources usedResources() {
		Resources used = Resources.NONE;
		for (Job job : this.jobs.values()) {
			used = used.plus(job.workload().size().times(job.openCount()));
		}
		return used;
	}

	/**
	 * The jobs that are not final, in the order in which they are placed: services first,
	 * then by the time since when they are ready.
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
	 * Note what is declared when the queue is first loaded.
	 * @param declared the jobs of all teams
	 */
	void recordInitiallyDeclared(Set<JobId> declared) {
		if (this.initiallyDeclared.isEmpty()) {
			this.initiallyDeclared.addAll(declared);
		}
	}

	/**
	 * Tell whether a job was declared after the queue was first loaded, so that it can
	 * have no progress yet.
	 * @param id the job
	 * @return {@code true} if it is new
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
