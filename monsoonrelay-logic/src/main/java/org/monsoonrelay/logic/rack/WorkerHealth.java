package org.monsoonrelay.logic.rack;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.placement.PackingPolicy;
import org.monsoonrelay.logic.placement.PlacementPolicy;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.placement.SpreadPolicy;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Tells workers that fail what others run from jobs that fail everywhere. A worker goes
 * on probation after several failures in a row, unless they are the job's fault: a job
 * that failed on several workers and has not run well on any. A worker on probation gets
 * one probe task at a time, with growing pauses, until one ends well. Failures of one job
 * alone count only once it has run well elsewhere. Not thread-safe: confined to the
 * control thread.
 */
final class WorkerHealth {

	private static final int FAILURES_IN_A_ROW = 3;

	private static final int WORKERS_THAT_CLEAR = 3;

	private static final int MAXIMUM_JOBS = 4096;

	private static final long FIRST_PAUSE_NANOS = Duration.ofSeconds(10).toNanos();

	private static final int MAXIMUM_DOUBLINGS = 6;

	private final LongSupplier monotonicNanos;

	private final Map<WorkerId, Failures> failures = new HashMap<>();

	private final Map<JobId, History> histories = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<JobId, History> eldest) {
			return size() > MAXIMUM_JOBS;
		}

	};

	WorkerHealth(LongSupplier monotonicNanos) {
		this.monotonicNanos = monotonicNanos;
	}

	/**
	 * Take in how an attempt ended. Each end is to be told once.
	 * @param event what its worker told
	 */
	void judge(AttemptEvent event) {
		if (event.kind() == AttemptEventKind.FAILED) {
			failed(event.worker(), event.attempt().job());
		}
		else if (event.kind() == AttemptEventKind.FINISHED) {
			succeeded(event.worker(), event.attempt().job());
		}
	}

	/**
	 * Choose a worker: for a repeatable task one that is due a probe, otherwise a sound
	 * one on which the job has not failed, as long as there is such a one.
	 * @param usable the workers that may be given work
	 * @param request what is asked for
	 * @param job the job
	 * @return the worker, or empty if none has room
	 */
	Optional<Worker> choose(List<Worker> usable, ReservationRequest request, JobId job) {
		if (request.startAtOnce() && request.kind() == WorkloadKind.BATCH) {
			Optional<Worker> probed = usable.stream()
				.filter((worker) -> isProbeDue(worker.id()) && worker.accepts(request.size()))
				.findFirst();
			if (probed.isPresent()) {
				probe(probed.get().id());
				return probed;
			}
		}
		PlacementPolicy policy = (request.kind() == WorkloadKind.SERVICE) ? new SpreadPolicy() : new PackingPolicy();
		List<Worker> sound = usable.stream().filter((worker) -> !isOnProbation(worker.id())).toList();
		List<Worker> untried = sound.stream().filter((worker) -> !hasFailedOn(job, worker.id())).toList();
		return policy.choose(job, request.size(), untried.isEmpty() ? sound : untried);
	}

	private void failed(WorkerId worker, JobId job) {
		this.histories.computeIfAbsent(job, (id) -> new History()).failedOn.add(worker);
		this.failures.computeIfAbsent(worker, (id) -> new Failures(this.monotonicNanos.getAsLong())).byJob.merge(job, 1,
				Integer::sum);
	}

	private void succeeded(WorkerId worker, JobId job) {
		History history = this.histories.computeIfAbsent(job, (id) -> new History());
		history.ranWell = true;
		history.failedOn.remove(worker);
		this.failures.remove(worker);
	}

	private boolean isOnProbation(WorkerId worker) {
		Failures own = this.failures.get(worker);
		if (own == null) {
			return false;
		}
		int counted = 0;
		boolean jobsAreSound = false;
		Set<JobId> jobs = new HashSet<>();
		for (Map.Entry<JobId, Integer> entry : own.byJob.entrySet()) {
			History history = this.histories.getOrDefault(entry.getKey(), new History());
			if (!history.isAtFault()) {
				counted += entry.getValue();
				jobs.add(entry.getKey());
				jobsAreSound |= history.ranWell;
			}
		}
		return counted >= FAILURES_IN_A_ROW && (jobsAreSound || jobs.size() > 1);
	}

	/**
	 * Tell whether a worker may be given work now.
	 * @param worker the worker
	 * @return {@code false} if it is on probation and no probe is due
	 */
	boolean isUsable(WorkerId worker) {
		return !isOnProbation(worker) || isProbeDue(worker);
	}

	private boolean isProbeDue(WorkerId worker) {
		return isOnProbation(worker) && this.monotonicNanos.getAsLong() - this.failures.get(worker).probeNanos >= 0;
	}

	private void probe(WorkerId worker) {
		Failures own = this.failures.get(worker);
		own.probeNanos = this.monotonicNanos.getAsLong()
				+ (FIRST_PAUSE_NANOS << Math.min(own.probes, MAXIMUM_DOUBLINGS));
		own.probes++;
	}

	private boolean hasFailedOn(JobId job, WorkerId worker) {
		History history = this.histories.get(job);
		return history != null && history.failedOn.contains(worker);
	}

	private static final class Failures {

		private final Map<JobId, Integer> byJob = new HashMap<>();

		private long probeNanos;

		private int probes;

		Failures(long nowNanos) {
			this.probeNanos = nowNanos + FIRST_PAUSE_NANOS;
		}

	}

	private static final class History {

		private final Set<WorkerId> failedOn = new HashSet<>();

		private boolean ranWell;

		boolean isAtFault() {
			return !this.ranWell && this.failedOn.size() >= WORKERS_THAT_CLEAR;
		}

	}

}
