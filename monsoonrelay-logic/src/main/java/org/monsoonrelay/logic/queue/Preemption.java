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
 * Stops batch work that may be repeated where urgent work finds no room. The stopped
 * tasks wait to be placed again. Invariants: no task that must run once, no urgent task
 * and no service or gang is stopped; an attempt is asked to stop once, and others are
 * chosen if it has not ended in time. Not thread-safe: confined to the control thread.
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
	 * Tell the directory of the room that has come free since the last round, so that
	 * urgent work finds it before the next summary does.
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
	 * Have enough batch tasks stopped for urgent tasks to fit.
	 * @param urgent the urgent job
	 * @param tasks how many of its tasks found no room
	 * @param queues the queues whose batch work may be stopped
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

	private static Optional<List<Victim>> fewestVictims(Collection<List<Victim>> workers, Resources size) {
		return workers.stream()
			.map((victims) -> selectVictims(victims, size))
			.filter((victims) -> !victims.isEmpty())
			.min(Comparator.comparingInt((List<Victim> victims) -> victims.size())
				.thenComparing((victims) -> victims.get(0).worker()));
	}

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
	 */
	private record PendingPreemption(List<Victim> victims, String rack, JobId urgentJob, Instant deadline) {

		Resources freedResources() {
			return this.victims.stream()
				.map((victim) -> victim.job().workload().size())
				.reduce(Resources.NONE, Resources::plus);
		}

	}

}
