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

import org.monsoonrelay.logic.control.InForce;
import org.monsoonrelay.logic.placement.WeightedRackPolicy;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.QuotaLedger;
import org.monsoonrelay.model.workload.Team;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Decides which waiting tasks of the owned queues are placed in a round, and why the
 * others wait. Urgent jobs of all teams go first and may have batch work stopped. Then
 * teams take turns, the team with the least use against its weight first. Invariant: a
 * round opens no attempt that takes a team over its quota. Not thread-safe: confined to
 * the control thread.
 */
final class TeamScheduler {

	private static final int MAXIMUM_STARTS_A_ROUND = 4096;

	private static final int MAXIMUM_STARTS_A_TURN = 32;

	private final Placer placer;

	private final RackDirectory racks;

	private final JobJournal journal;

	private final InstantSource clock;

	private final Preemption preemption;

	private final Map<JobId, WaitReason> waitReasons = new HashMap<>();

	TeamScheduler(Placer placer, RackDirectory racks, JobJournal journal, InstantSource clock) {
		this.placer = placer;
		this.racks = racks;
		this.journal = journal;
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
	 * Place what can be placed now.
	 * @param queues the owned queues by team
	 * @param inForce what operators have in force
	 * @param satisfied names of workloads that are finished or up
	 */
	void round(Map<String, TeamQueue> queues, InForce inForce, Set<String> satisfied) {
		this.racks.beginRound(new WeightedRackPolicy(inForce.text().policy()));
		this.preemption.beginRound();
		Round round = new Round(inForce, satisfied);
		List<TeamTurn> urgent = new ArrayList<>();
		List<TeamTurn> others = new ArrayList<>();
		queues.forEach((name, queue) -> {
			Team team = inForce.text().team(name).orElse(new Team(name, Resources.NONE, 1));
			QuotaLedger ledger = new QuotaLedger(team, queue.used());
			List<Job> jobs = queue.inOrder();
			urgent.add(new TeamTurn(queue, ledger, matching(jobs, (job) -> job.workload().urgent())));
			others.add(new TeamTurn(queue, ledger, matching(jobs, Predicate.not((job) -> job.workload().urgent()))));
		});
		round.inTurn(urgent, queues.values());
		round.inTurn(others, List.of());
	}

	private static List<Job> matching(List<Job> jobs, Predicate<Job> condition) {
		return jobs.stream().filter(condition).toList();
	}

	/**
	 * One round of placing.
	 */
	private final class Round {

		private final InForce inForce;

		private final Set<String> satisfied;

		private final Resources cell;

		private int budget = MAXIMUM_STARTS_A_ROUND;

		Round(InForce inForce, Set<String> satisfied) {
			this.inForce = inForce;
			this.satisfied = satisfied;
			this.cell = TeamScheduler.this.racks.capacity();
		}

		void inTurn(List<TeamTurn> teams, Iterable<TeamQueue> preemptible) {
			PriorityQueue<TeamTurn> order = new PriorityQueue<>(
					Comparator.comparingDouble((TeamTurn turn) -> turn.ledger().weightedShare(this.cell))
						.thenComparing((turn) -> turn.ledger().team().name()));
			order.addAll(teams);
			while (!order.isEmpty()) {
				TeamTurn turn = order.poll();
				Optional<Job> job = turn.next();
				job.ifPresent((present) -> take(turn, present, preemptible));
				if (turn.hasNext()) {
					order.add(turn);
				}
			}
		}

		private void take(TeamTurn turn, Job job, Iterable<TeamQueue> preemptible) {
			WaitReason blocked = blockedBy(turn.queue(), job);
			if (blocked != WaitReason.NONE || this.budget <= 0) {
				TeamScheduler.this.waitReasons.put(job.id(), blocked);
				return;
			}
			Workload workload = job.workload();
			int most = (workload.kind() == WorkloadKind.GANG) ? workload.tasks() : MAXIMUM_STARTS_A_TURN;
			List<Integer> placeable = job.placeable(TeamScheduler.this.clock.instant(), most);
			int fits = turn.ledger().allows(workload.size(), placeable.size());
			int placed = TeamScheduler.this.placer.place(job, placeable.subList(0, fits));
			turn.ledger().take(workload.size(), placed);
			this.budget -= placed;
			TeamScheduler.this.waitReasons.put(job.id(), reasonAfter(job, placeable.size(), fits, placed));
			if (job.workload().urgent() && placed < fits) {
				TeamScheduler.this.preemption.makeRoom(job, fits - placed, preemptible);
			}
			if (placed == most && workload.kind() != WorkloadKind.GANG) {
				turn.again(job);
			}
		}

		private WaitReason blockedBy(TeamQueue queue, Job job) {
			Workload workload = job.workload();
			if (!this.inForce.state().permits(job.id()) || !queue.isActive()) {
				return WaitReason.RECOVERING;
			}
			int together = (workload.kind() == WorkloadKind.GANG) ? workload.tasks() : 1;
			if (!TeamScheduler.this.racks.canEverFit(workload.size(), together)) {
				return WaitReason.NEVER_FITS;
			}
			if (!this.satisfied.containsAll(workload.dependsOn())) {
				return WaitReason.DEPENDENCY;
			}
			if (workload.once() && !TeamScheduler.this.journal.isAvailable()) {
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

	}

}
