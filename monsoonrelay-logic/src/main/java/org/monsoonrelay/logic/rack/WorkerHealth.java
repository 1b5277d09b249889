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

	private static final int PROBATION_FAILURE_THRESHOLD = 3;

	private static final int JOB_FAULT_WORKER_THRESHOLD = 3;

	private static final int MAXIMUM_TRACKED_JOBS = 4096;

	private static final long INITIAL_PROBE_DELAY_NANOS = Duration.ofSeconds(10).toNanos();

	private static final int MAXIMUM_PROBE_DELAY_DOUBLINGS = 6;

	private final LongSupplier monotonicNanos;

	private final Map<WorkerId, WorkerFailures> failuresByWorker = new HashMap<>();

	private final Map<JobId, JobHistory> historyByJob = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<JobId, JobHistory> eldest) {
			return size() > MAXIMUM_TRACKED_JOBS;
		}

	};

	WorkerHealth(LongSupplier monotonicNanos) {
		this.monotonicNanos = monotonicNanos;
	}

	/**
	 * Take in how an attempt ended. Each end is to be told once.
	 * @param event what its worker told
	 */
	void recordOutcome(AttemptEvent event) {
		if (event.kind() == AttemptEventKind.FAILED) {
			recordFailure(event.worker(), event.attempt().job());
		}
		else if (event.kind() == AttemptEventKind.FINISHED) {
			recordSuccess(event.worker(), event.attempt().job());
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
	Optional<Worker> chooseWorker(List<Worker> usable, ReservationRequest request, JobId job) {
		if (request.startAtOnce() && request.kind() == WorkloadKind.BATCH) {
			Optional<Worker> probed = usable.stream()
				.filter((worker) -> isProbeDue(worker.id()) && worker.accepts(request.size()))
				.findFirst();
			if (probed.isPresent()) {
				scheduleNextProbe(probed.get().id());
				return probed;
			}
		}
		PlacementPolicy policy = (request.kind() == WorkloadKind.SERVICE) ? new SpreadPolicy() : new PackingPolicy();
		List<Worker> sound = usable.stream().filter((worker) -> !isOnProbation(worker.id())).toList();
		List<Worker> untried = sound.stream().filter((worker) -> !hasFailedOn(job, worker.id())).toList();
		return policy.choose(job, request.size(), untried.isEmpty() ? sound : untried);
	}

	private void recordFailure(WorkerId worker, JobId job) {
		this.historyByJob.computeIfAbsent(job, (id) -> new JobHistory()).failedWorkers.add(worker);
		this.failuresByWorker.computeIfAbsent(worker,
				(id) -> new WorkerFailures(this.monotonicNanos.getAsLong())).countByJob
			.merge(job, 1, Integer::sum);
	}

	private void recordSuccess(WorkerId worker, JobId job) {
		JobHistory history = this.historyByJob.computeIfAbsent(job, (id) -> new JobHistory());
		history.hasFinished = true;
		history.failedWorkers.remove(worker);
		this.failuresByWorker.remove(worker);
	}

	private boolean isOnProbation(WorkerId worker) {
		WorkerFailures own = this.failuresByWorker.get(worker);
		if (own == null) {
			return false;
		}
		int counted = 0;
		boolean jobsAreSound = false;
		Set<JobId> jobs = new HashSet<>();
		for (Map.Entry<JobId, Integer> entry : own.countByJob.entrySet()) {
			JobHistory history = this.historyByJob.getOrDefault(entry.getKey(), new JobHistory());
			if (!history.isAtFault()) {
				counted += entry.getValue();
				jobs.add(entry.getKey());
				jobsAreSound |= history.hasFinished;
			}
		}
		return counted >= PROBATION_FAILURE_THRESHOLD && (jobsAreSound || jobs.size() > 1);
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
		return isOnProbation(worker)
				&& this.monotonicNanos.getAsLong() - this.failuresByWorker.get(worker).nextProbeNanos >= 0;
	}

	private void scheduleNextProbe(WorkerId worker) {
		WorkerFailures own = this.failuresByWorker.get(worker);
		own.nextProbeNanos = this.monotonicNanos.getAsLong()
				+ (INITIAL_PROBE_DELAY_NANOS << Math.min(own.probeCount, MAXIMUM_PROBE_DELAY_DOUBLINGS));
		own.probeCount++;
	}

	private boolean hasFailedOn(JobId job, WorkerId worker) {
		JobHistory history = this.historyByJob.get(job);
		return history != null && history.failedWorkers.contains(worker);
	}

	private static final class WorkerFailures {

		private final Map<JobId, Integer> countByJob = new HashMap<>();

		private long nextProbeNanos;

		private int probeCount;

		WorkerFailures(long nowNanos) {
			this.nextProbeNanos = nowNanos + INITIAL_PROBE_DELAY_NANOS;
		}

	}

	private static final class JobHistory {

		private final Set<WorkerId> failedWorkers = new HashSet<>();

		private boolean hasFinished;

		boolean isAtFault() {
			return !this.hasFinished && this.failedWorkers.size() >= JOB_FAULT_WORKER_THRESHOLD;
		}

	}

}
