package org.monsoonrelay.logic.queue;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.monsoonrelay.logic.control.InForce;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.Team;

/**
 * Decides which waiting tasks of the owned queues are placed in a round, within the
 * teams' quotas, and why the others wait. Invariant: a round opens no attempt that takes
 * a team over its quota. Not thread-safe: confined to the control thread.
 */
final class TeamScheduler {

	private static final int MAXIMUM_STARTS_A_ROUND = 4096;

	private final Placer placer;

	private final JobJournal journal;

	private final InstantSource clock;

	private final Map<JobId, WaitReason> waitReasons = new HashMap<>();

	TeamScheduler(Placer placer, JobJournal journal, InstantSource clock) {
		this.placer = placer;
		this.journal = journal;
		this.clock = clock;
	}

	void forget(JobId id) {
		this.waitReasons.remove(id);
	}

	WaitReason waitReason(JobId id) {
		return this.waitReasons.getOrDefault(id, WaitReason.NONE);
	}

	/**
	 * Place what can be placed now.
	 * @param queues the owned queues by team
	 * @param inForce what operators have in force
	 * @param satisfied names of workloads that are finished or up
	 */
	void round(Map<String, TeamQueue> queues, InForce inForce, Set<String> satisfied) {
		int budget = MAXIMUM_STARTS_A_ROUND;
		for (Map.Entry<String, TeamQueue> entry : queues.entrySet()) {
			Resources quota = inForce.text().team(entry.getKey()).map(Team::quota).orElse(Resources.NONE);
			budget -= schedule(entry.getValue(), quota, inForce, satisfied, budget);
		}
	}

	private int schedule(TeamQueue queue, Resources quota, InForce inForce, Set<String> satisfied, int budget) {
		Resources used = queue.used();
		int started = 0;
		for (Job job : queue.inOrder()) {
			WaitReason reason = blockedBy(queue, job, inForce, satisfied);
			if (reason != WaitReason.NONE || started >= budget) {
				this.waitReasons.put(job.id(), reason);
				continue;
			}
			List<Integer> placeable = job.placeable(this.clock.instant());
			int fits = withinQuota(quota, used, job.workload().size(), placeable.size());
			List<Integer> chosen = placeable.subList(0, Math.min(fits, budget - started));
			int placed = this.placer.place(job, chosen);
			used = used.plus(job.workload().size().times(placed));
			started += placed;
			this.waitReasons.put(job.id(), reasonAfter(job, placeable.size(), fits, placed));
		}
		return started;
	}

	private WaitReason blockedBy(TeamQueue queue, Job job, InForce inForce, Set<String> satisfied) {
		if (job.isFinal() || !inForce.state().permits(job.id())) {
			return (job.isFinal()) ? WaitReason.NONE : WaitReason.RECOVERING;
		}
		if (!queue.isActive()) {
			return WaitReason.RECOVERING;
		}
		if (!satisfied.containsAll(job.workload().dependsOn())) {
			return WaitReason.DEPENDENCY;
		}
		if (job.workload().once() && !this.journal.isAvailable()) {
			return WaitReason.PLATFORM_UNAVAILABLE;
		}
		return WaitReason.NONE;
	}

	private static WaitReason reasonAfter(Job job, int placeable, int fits, int placed) {
		if (job.count(TaskState.IN_DOUBT) > 0) {
			return WaitReason.WORKER_SILENT;
		}
		if (placeable == 0) {
			return (job.count(TaskState.WAITING) > 0) ? WaitReason.BACKOFF : WaitReason.NONE;
		}
		if (fits < placeable) {
			return WaitReason.QUOTA;
		}
		return (placed < placeable) ? WaitReason.NO_ROOM : WaitReason.NONE;
	}

	private static int withinQuota(Resources quota, Resources used, Resources size, int wanted) {
		int fits = 0;
		Resources sum = used;
		while (fits < wanted && quota.covers(sum.plus(size))) {
			sum = sum.plus(size);
			fits++;
		}
		return fits;
	}

}
