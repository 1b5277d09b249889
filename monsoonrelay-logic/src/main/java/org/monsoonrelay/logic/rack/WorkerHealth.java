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
 * Distinguishes faulty workers from faulty jobs by the outcomes of attempts. A worker is
 * put on probation after several consecutive failures. Failures of a job that failed on
 * several workers and never finished are attributed to the job and do not count. If all
 * counted failures belong to one job, the job must have finished before on some worker. A
 * worker on probation is given one probe task at a time, with increasing delays, until a
 * task finishes there. Not thread-safe: confined to the control thread.
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
	 * Record the outcome of an attempt. Events of other kinds are ignored. Each outcome
	 * must be recorded once only.
	 * @param event the event
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
	 * Choose a worker for an attempt. A batch task that starts at once goes to a worker
	 * with a due probe if there is one. All other attempts go to a worker that is not on
	 * probation, preferably one on which the job has not failed.
	 * @param usable the workers that can accept new attempts
	 * @param request the reservation request
	 * @param job the job of the attempt
	 * @return the worker, or empty if none has enough free capacity
	 */
	Optional<Worker> chooseWorker(List<Worker> usable, ReservationRequest request, JobId job) {
		if (request.startAtOnce() && request.kind() == WorkloadKind.BATCH) {
			Optional<Worker> probeTarget = usable.stream()
				.filter((worker) -> isProbeDue(worker.id()) && worker.canAccept(request.size()))
				.findFirst();
			if (probeTarget.isPresent()) {
				scheduleNextProbe(probeTarget.get().id());
				return probeTarget;
			}
		}
		PlacementPolicy policy = (request.kind() == WorkloadKind.SERVICE) ? new SpreadPolicy() : new PackingPolicy();
		List<Worker> healthy = usable.stream().filter((worker) -> !isOnProbation(worker.id())).toList();
		List<Worker> preferred = healthy.stream().filter((worker) -> !hasFailedOn(job, worker.id())).toList();
		return policy.choose(job, request.size(), preferred.isEmpty() ? healthy : preferred);
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
		WorkerFailures workerFailures = this.failuresByWorker.get(worker);
		if (workerFailures == null) {
			return false;
		}
		int failureCount = 0;
		boolean anyJobHasFinished = false;
		Set<JobId> failedJobs = new HashSet<>();
		for (Map.Entry<JobId, Integer> entry : workerFailures.countByJob.entrySet()) {
			JobHistory history = this.historyByJob.getOrDefault(entry.getKey(), new JobHistory());
			if (!history.isAtFault()) {
				failureCount += entry.getValue();
				failedJobs.add(entry.getKey());
				anyJobHasFinished |= history.hasFinished;
			}
		}
		return failureCount >= PROBATION_FAILURE_THRESHOLD && (anyJobHasFinished || failedJobs.size() > 1);
	}

	/**
	 * Return whether a worker can currently be given new attempts.
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
		WorkerFailures workerFailures = this.failuresByWorker.get(worker);
		workerFailures.nextProbeNanos = this.monotonicNanos.getAsLong()
				+ (INITIAL_PROBE_DELAY_NANOS << Math.min(workerFailures.probeCount, MAXIMUM_PROBE_DELAY_DOUBLINGS));
		workerFailures.probeCount++;
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
