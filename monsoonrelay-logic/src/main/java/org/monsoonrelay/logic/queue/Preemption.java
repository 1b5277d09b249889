package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Preempts repeatable batch work in favour of urgent work that finds no free capacity.
 * The stopped tasks go back to waiting and are placed again. Invariants: run-once tasks,
 * urgent tasks, services and gangs are never preempted; until its stop request has timed
 * out, a victim is not asked to stop again and no others are chosen in its place. Not
 * thread-safe: confined to the control thread.
 */
final class Preemption {

	private static final Duration STOP_TIMEOUT = Duration.ofMillis(1500);

	private final Placer placer;

	private final RackDirectory racks;

	private final InstantSource clock;

	private final List<PendingPreemption> pendingPreemptions = new ArrayList<>();

	Preemption(Placer placer, RackDirectory racks, InstantSource clock) {
		this.placer = placer;
		this.racks = racks;
		this.clock = clock;
	}

	/**
	 * Add the capacity freed by preemption since the last round to the rack directory, so
	 * that urgent work can use it before the next rack summary arrives. Drops preemptions
	 * whose victims have not ended in time.
	 */
	void recordFreedCapacity() {
		this.pendingPreemptions.removeIf((preemption) -> {
			boolean ended = preemption.victims.stream().allMatch(Victim::hasEnded);
			if (ended) {
				this.racks.recordFreed(preemption.rack, preemption.freedResources());
			}
			return ended || !this.clock.instant().isBefore(preemption.deadline);
		});
	}

	/**
	 * Stop enough batch tasks for the waiting tasks of an urgent job to fit.
	 * @param urgent the urgent job
	 * @param tasks the number of its tasks that found no free capacity
	 * @param queues the queues whose batch work may be preempted
	 */
	void preemptFor(Job urgent, int tasks, Iterable<TeamQueue> queues) {
		int pending = (int) this.pendingPreemptions.stream()
			.filter((preemption) -> preemption.urgentJob.equals(urgent.id()))
			.count();
		if (pending >= tasks) {
			return;
		}
		Map<WorkerId, List<Victim>> byWorker = victimsByWorker(queues);
		for (int count = pending; count < tasks; count++) {
			Optional<List<Victim>> chosen = fewestVictims(byWorker.values(), urgent.workload().size());
			if (chosen.isEmpty()) {
				return;
			}
			preempt(chosen.get(), urgent.id());
			byWorker.remove(chosen.get().get(0).worker());
		}
	}

	private Map<WorkerId, List<Victim>> victimsByWorker(Iterable<TeamQueue> queues) {
		Map<WorkerId, List<Victim>> byWorker = new HashMap<>();
		Set<WorkerId> workersBeingPreempted = new HashSet<>();
		this.pendingPreemptions.forEach((preemption) -> workersBeingPreempted.add(preemption.victims.get(0).worker()));
		for (TeamQueue queue : queues) {
			queue.jobs().values().stream().filter(Preemption::isPreemptible).forEach((job) -> {
				for (TaskRecord task : job.tasks()) {
					WorkerId worker = new WorkerId(task.worker());
					if (task.state() == TaskState.RUNNING && !workersBeingPreempted.contains(worker)) {
						AttemptId attempt = new AttemptId(job.id(), task.task(), task.attempt());
						byWorker.computeIfAbsent(worker, (name) -> new ArrayList<>())
							.add(new Victim(job, attempt, worker));
					}
				}
			});
		}
		return byWorker;
	}

	private static boolean isPreemptible(Job job) {
		return job.workload().kind() == WorkloadKind.BATCH && !job.workload().once() && !job.workload().urgent()
				&& job.count(TaskState.RUNNING) > 0;
	}

	/**
	 * Choose the worker on which the fewest attempts have to stop.
	 * @param workers the preemptible attempts of each worker
	 * @param size the capacity to free on one worker
	 * @return the attempts to stop, or empty if no worker has enough of them
	 */
	private static Optional<List<Victim>> fewestVictims(Collection<List<Victim>> workers, Resources size) {
		return workers.stream()
			.map((victims) -> selectVictims(victims, size))
			.filter((victims) -> !victims.isEmpty())
			.min(Comparator.comparingInt((List<Victim> victims) -> victims.size())
				.thenComparing((victims) -> victims.get(0).worker()));
	}

	/**
	 * Select the attempts to stop on one worker, those of the most recent jobs first.
	 * @param victims the preemptible attempts of the worker
	 * @param size the capacity to free
	 * @return the attempts to stop, empty if stopping all of them is not enough
	 */
	private static List<Victim> selectVictims(List<Victim> victims, Resources size) {
		List<Victim> newestFirst = new ArrayList<>(victims);
		newestFirst.sort(Comparator.comparing((Victim victim) -> victim.job().readySince())
			.reversed()
			.thenComparing((victim) -> victim.attempt().toString()));
		Resources freed = Resources.NONE;
		List<Victim> chosen = new ArrayList<>();
		for (Victim victim : newestFirst) {
			chosen.add(victim);
			freed = freed.plus(victim.job().workload().size());
			if (freed.covers(size)) {
				return chosen;
			}
		}
		return List.of();
	}

	private void preempt(List<Victim> victims, JobId urgentJob) {
		String rack = this.placer.rackOf(victims.get(0).attempt());
		this.pendingPreemptions
			.add(new PendingPreemption(victims, rack, urgentJob, this.clock.instant().plus(STOP_TIMEOUT)));
		victims.forEach((victim) -> this.placer.stop(victim.job(), victim.attempt(), victim.worker()));
	}

	private record Victim(Job job, AttemptId attempt, WorkerId worker) {

		boolean hasEnded() {
			return !this.job.openAttempts().contains(this.attempt);
		}

	}

	/**
	 * Attempts on one worker that were asked to stop for one urgent task.
	 *
	 * @param victims the attempts, at least one
	 * @param rack the rack of the worker
	 * @param urgentJob the job of the urgent task
	 * @param deadline time after which other victims may be chosen
	 */
	private record PendingPreemption(List<Victim> victims, String rack, JobId urgentJob, Instant deadline) {

		Resources freedResources() {
			return this.victims.stream()
				.map((victim) -> victim.job().workload().size())
				.reduce(Resources.NONE, Resources::plus);
		}

	}

}
