package org.monsoonrelay.logic.queue;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.placement.WeightedRackPolicy;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.QuotaUsage;
import org.monsoonrelay.model.workload.Team;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Schedules the owned queues in rounds: decides which waiting tasks are placed and why
 * the others wait. Urgent jobs of all teams are placed first and may preempt batch work.
 * The other jobs are placed by weighted fair share: the team with the smallest usage
 * relative to its weight is next. Invariant: no attempt is opened that takes its team
 * over the quota. Not thread-safe: confined to the control thread.
 */
final class TeamScheduler {

	private static final int MAXIMUM_STARTS_PER_ROUND = 4096;

	private static final int MAXIMUM_STARTS_PER_TURN = 32;

	private final Placer placer;

	private final RackDirectory racks;

	private final JobRecordStore store;

	private final InstantSource clock;

	private final Preemption preemption;

	private final Map<JobId, WaitReason> waitReasons = new HashMap<>();

	TeamScheduler(Placer placer, RackDirectory racks, JobRecordStore store, InstantSource clock) {
		this.placer = placer;
		this.racks = racks;
		this.store = store;
		this.clock = clock;
		this.preemption = new Preemption(placer, racks, clock);
	}

	void forget(JobId id) {
		this.waitReasons.remove(id);
	}

	WaitReason waitReason(Job job) {
		return job.isFinal() ? WaitReason.NONE : this.waitReasons.getOrDefault(job.id(), WaitReason.NONE);
	}

	/**
	 * Run one scheduling round.
	 * @param queues the owned queues by team
	 * @param inForce the configuration and the operators' edits in force
	 * @param satisfied names of workloads that have finished or are up
	 */
	void runRound(Map<String, TeamQueue> queues, ActiveControlState inForce, Set<String> satisfied) {
		this.racks.beginRound(new WeightedRackPolicy(inForce.text().policy()));
		this.preemption.recordFreedCapacity();
		PlacementRound round = new PlacementRound(inForce, satisfied);
		List<TeamBacklog> urgent = new ArrayList<>();
		List<TeamBacklog> others = new ArrayList<>();
		queues.forEach((name, queue) -> {
			Team team = inForce.text().team(name).orElse(new Team(name, Resources.NONE, 1));
			QuotaUsage ledger = new QuotaUsage(team, queue.usedResources());
			List<Job> jobs = queue.unfinishedJobsInPlacementOrder();
			urgent.add(new TeamBacklog(queue, ledger, filter(jobs, (job) -> job.workload().urgent())));
			others.add(new TeamBacklog(queue, ledger, filter(jobs, Predicate.not((job) -> job.workload().urgent()))));
		});
		round.placeByFairShare(urgent, queues.values());
		round.placeByFairShare(others, List.of());
	}

	private static List<Job> filter(List<Job> jobs, Predicate<Job> condition) {
		return jobs.stream().filter(condition).toList();
	}

	/**
	 * One scheduling round.
	 */
	private final class PlacementRound {

		private final ActiveControlState inForce;

		private final Set<String> satisfied;

		private final Resources cellCapacity;

		private int remainingStarts = MAXIMUM_STARTS_PER_ROUND;

		PlacementRound(ActiveControlState inForce, Set<String> satisfied) {
			this.inForce = inForce;
			this.satisfied = satisfied;
			this.cellCapacity = TeamScheduler.this.racks.capacity();
		}

		/**
		 * Place jobs team by team, the team with the smallest weighted share next.
		 * @param backlogs the backlogs of the teams
		 * @param preemptible queues whose batch work urgent jobs may preempt
		 */
		void placeByFairShare(List<TeamBacklog> backlogs, Iterable<TeamQueue> preemptible) {
			PriorityQueue<TeamBacklog> order = new PriorityQueue<>(Comparator
				.comparingDouble((TeamBacklog backlog) -> backlog.ledger().weightedShare(this.cellCapacity))
				.thenComparing((backlog) -> backlog.ledger().team().name()));
			order.addAll(backlogs);
			while (!order.isEmpty()) {
				TeamBacklog backlog = order.poll();
				Optional<Job> job = backlog.pollJob();
				job.ifPresent((next) -> placeJob(backlog, next, preemptible));
				if (backlog.hasJobs()) {
					order.add(backlog);
				}
			}
		}

		private void placeJob(TeamBacklog backlog, Job job, Iterable<TeamQueue> preemptible) {
			WaitReason reason = blockingReason(backlog.queue(), job);
			if (reason != WaitReason.NONE || this.remainingStarts <= 0) {
				TeamScheduler.this.waitReasons.put(job.id(), reason);
				return;
			}
			Workload workload = job.workload();
			int maximumStarts = (workload.kind() == WorkloadKind.GANG) ? workload.tasks() : MAXIMUM_STARTS_PER_TURN;
			List<Integer> placeable = job.placeableTasks(TeamScheduler.this.clock.instant(), maximumStarts);
			int allowed = backlog.ledger().allowedTasks(workload.size(), placeable.size());
			int placed = TeamScheduler.this.placer.place(job, placeable.subList(0, allowed));
			backlog.ledger().allocate(workload.size(), placed);
			this.remainingStarts -= placed;
			TeamScheduler.this.waitReasons.put(job.id(), waitReasonAfter(job, placeable.size(), allowed, placed));
			if (job.workload().urgent() && placed < allowed) {
				TeamScheduler.this.preemption.preemptFor(job, allowed - placed, preemptible);
			}
			if (placed == maximumStarts && workload.kind() != WorkloadKind.GANG) {
				backlog.requeueFirst(job);
			}
		}

		private WaitReason blockingReason(TeamQueue queue, Job job) {
			Workload workload = job.workload();
			if (!this.inForce.state().permits(job.id()) || !queue.isActive()) {
				return WaitReason.RECOVERING;
			}
			int minimumTasks = (workload.kind() == WorkloadKind.GANG) ? workload.tasks() : 1;
			if (!TeamScheduler.this.racks.canEverFit(workload.size(), minimumTasks)) {
				return WaitReason.NEVER_FITS;
			}
			if (!this.satisfied.containsAll(workload.dependsOn())) {
				return WaitReason.DEPENDENCY;
			}
			if (workload.once() && !TeamScheduler.this.store.isAvailable()) {
				return WaitReason.PLATFORM_UNAVAILABLE;
			}
			return WaitReason.NONE;
		}

		private static WaitReason waitReasonAfter(Job job, int placeable, int allowed, int placed) {
			if (job.count(TaskState.IN_DOUBT) > 0) {
				return WaitReason.WORKER_SILENT;
			}
			if (placeable == 0) {
				return (job.count(TaskState.WAITING) > 0) ? WaitReason.BACKOFF : WaitReason.NONE;
			}
			if (allowed < placeable) {
				return WaitReason.QUOTA;
			}
			return (placed < placeable) ? WaitReason.NO_ROOM : WaitReason.NONE;
		}

	}

}
