package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Opens attempts of waiting tasks, reserves capacity for them with the owners of racks
 * and requests the start of the reserved attempts. Invariants: an attempt of a run-once
 * task is durable before its start is requested; a gang starts all of its tasks or none.
 * Not thread-safe: confined to the control thread, which also handles all replies.
 */
final class Placer {

	private static final Duration RESERVATION_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration GANG_START_TIMEOUT = Duration.ofSeconds(3);

	private static final Duration INITIAL_GANG_BACKOFF = Duration.ofMillis(100);

	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 5;

	private final RackOwners rackOwners;

	private final RackDirectory racks;

	private final JobRecordStore store;

	private final Executor controlExecutor;

	private final InstantSource clock;

	private final Predicate<WorkerId> workerListed;

	private final Map<JobId, Map<AttemptId, String>> rackByAttempt = new HashMap<>();

	private final Map<JobId, GangBackoff> gangBackoffs = new HashMap<>();

	Placer(RackOwners rackOwners, RackDirectory racks, JobRecordStore store, Executor controlExecutor,
			InstantSource clock, Predicate<WorkerId> workerListed) {
		this.rackOwners = rackOwners;
		this.racks = racks;
		this.store = store;
		this.controlExecutor = controlExecutor;
		this.clock = clock;
		this.workerListed = workerListed;
	}

	/**
	 * Return the present time of the owner's clock.
	 * @return the time
	 */
	Instant now() {
		return this.clock.instant();
	}

	void forget(JobId id) {
		this.rackByAttempt.remove(id);
		this.gangBackoffs.remove(id);
	}

	/**
	 * Return the rack that an attempt was placed in.
	 * @param attempt the attempt
	 * @return the name of the rack, empty if another queue owner placed the attempt
	 */
	String rackOf(AttemptId attempt) {
		return this.rackByAttempt.getOrDefault(attempt.job(), Map.of()).getOrDefault(attempt, "");
	}

	/**
	 * Send a stop request for an attempt to the owner of its rack.
	 * @param job the job
	 * @param attempt the attempt
	 * @param worker the worker it was placed on
	 */
	void stop(Job job, AttemptId attempt, WorkerId worker) {
		this.rackOwners.stop(rackOf(attempt), attempt, worker, job.workload().team());
	}

	/**
	 * Place tasks of a job as far as the racks have free capacity for them.
	 * @param job the job
	 * @param tasks the tasks that may be placed
	 * @return the number of attempts opened
	 */
	int place(Job job, List<Integer> tasks) {
		if (job.workload().kind() == WorkloadKind.GANG) {
			return placeGang(job, tasks);
		}
		Map<String, List<AttemptId>> attemptsByRack = new LinkedHashMap<>();
		Map<String, Integer> replicas = replicasByRack(job);
		int placed = 0;
		for (int task : tasks) {
			Optional<String> rack = this.racks.choose(job.workload().kind(), job.workload().size(), replicas);
			if (rack.isEmpty()) {
				break;
			}
			replicas.merge(rack.get(), 1, Integer::sum);
			AttemptId attempt = openAttempt(job, task, rack.get());
			attemptsByRack.computeIfAbsent(rack.get(), (name) -> new ArrayList<>()).add(attempt);
			placed++;
		}
		attemptsByRack.forEach((rack, attempts) -> reserve(job, rack, attempts));
		return placed;
	}

	private AttemptId openAttempt(Job job, int task, String rack) {
		AttemptId attempt = job.openAttempt(task);
		this.rackByAttempt.computeIfAbsent(job.id(), (id) -> new HashMap<>()).put(attempt, rack);
		return attempt;
	}

	private Map<String, Integer> replicasByRack(Job job) {
		Map<String, Integer> replicas = new HashMap<>();
		Map<AttemptId, String> racksOfJob = this.rackByAttempt.get(job.id());
		if (racksOfJob != null) {
			racksOfJob.keySet().retainAll(new HashSet<>(job.openAttempts()));
			racksOfJob.values().forEach((rack) -> replicas.merge(rack, 1, Integer::sum));
		}
		return replicas;
	}

	private void reserve(Job job, String rack, List<AttemptId> attempts) {
		boolean startAtOnce = !job.workload().once();
		if (startAtOnce) {
			attempts.forEach(job::markStarting);
		}
		this.rackOwners.reserve(request(job, rack, attempts, startAtOnce)).whenCompleteAsync((reserved, failure) -> {
			if (failure != null) {
				stopAll(job, rack, attempts);
				return;
			}
			List<AttemptId> refused = new ArrayList<>(attempts);
			reserved.forEach((reservation) -> refused.remove(reservation.attempt()));
			refused.forEach(job::markNotRunning);
			reserved.forEach((reservation) -> job.recordReservation(reservation.attempt(), reservation.worker(),
					reservation.incarnation()));
			recordReply(rack, job.workload().size(), refused.size());
			if (!startAtOnce) {
				startReserved(job, Map.of(rack, reserved), () -> true);
			}
		}, this.controlExecutor);
	}

	private void recordReply(String rack, Resources size, int refused) {
		if (refused > 0) {
			this.racks.recordRefusal(rack, size);
		}
		else {
			this.racks.recordAcceptance(size);
		}
	}

	private ReservationRequest request(Job job, String rack, List<AttemptId> attempts, boolean startAtOnce) {
		Workload workload = job.workload();
		return new ReservationRequest(rack, workload.team(), workload.kind(), workload.size(), workload.runMillis(),
				attempts, startAtOnce, now().plus(RESERVATION_TIMEOUT));
	}

	/**
	 * Give up attempts whose reservation request was not answered. The request may have
	 * taken effect, so the rack's owner is asked to stop them.
	 * @param job the job
	 * @param rack the rack that was asked
	 * @param attempts the attempts
	 */
	private void stopAll(Job job, String rack, List<AttemptId> attempts) {
		for (AttemptId attempt : attempts) {
			this.rackOwners.stop(rack, attempt, new WorkerId(""), job.workload().team());
			job.markNotRunning(attempt);
		}
	}

	private int placeGang(Job job, List<Integer> tasks) {
		Workload workload = job.workload();
		int needed = workload.tasks() - job.count(TaskState.FINISHED) - job.openCount();
		GangBackoff backoff = this.gangBackoffs.get(job.id());
		if (needed == 0 || tasks.size() < needed || (backoff != null && now().isBefore(backoff.notBefore()))) {
			return 0;
		}
		List<String> chosen = new ArrayList<>();
		while (chosen.size() < needed) {
			Optional<String> rack = this.racks.choose(WorkloadKind.GANG, workload.size(), Map.of());
			if (rack.isEmpty()) {
				chosen.forEach((name) -> this.racks.undoChoice(name, workload.size()));
				return 0;
			}
			chosen.add(rack.get());
		}
		Map<String, List<AttemptId>> attemptsByRack = new LinkedHashMap<>();
		for (int index = 0; index < needed; index++) {
			AttemptId attempt = openAttempt(job, tasks.get(index), chosen.get(index));
			attemptsByRack.computeIfAbsent(chosen.get(index), (name) -> new ArrayList<>()).add(attempt);
		}
		new GangReservation(this, job, attemptsByRack, now().plus(GANG_START_TIMEOUT)).sendRequests();
		return needed;
	}

	/**
	 * Reserve a part of a gang's capacity with the owner of one rack.
	 * @param job the gang
	 * @param rack the rack
	 * @param attempts the attempts to place in the rack
	 * @param onReply called with the reservations made, none if the request failed
	 */
	void reserveForGang(Job job, String rack, List<AttemptId> attempts, Consumer<List<Reservation>> onReply) {
		this.rackOwners.reserve(request(job, rack, attempts, false)).whenCompleteAsync((reservations, failure) -> {
			if (failure == null) {
				recordReply(rack, job.workload().size(), attempts.size() - reservations.size());
			}
			onReply.accept((failure != null) ? List.of() : reservations);
		}, this.controlExecutor);
	}

	/**
	 * Release all reservations that a gang holds or may hold, and delay its next try. The
	 * backoff is exponential with random jitter, so that gangs that compete for the same
	 * capacity do not collide again.
	 * @param job the gang
	 * @param attemptsByRack its attempts, none of which has been started
	 */
	void backOffGang(Job job, Map<String, List<AttemptId>> attemptsByRack) {
		attemptsByRack.forEach((rack, attempts) -> {
			this.rackOwners.release(rack, attempts);
			attempts.forEach((attempt) -> {
				job.markNotRunning(attempt);
				this.racks.undoChoice(rack, job.workload().size());
			});
		});
		GangBackoff previous = this.gangBackoffs.get(job.id());
		int failures = (previous != null) ? previous.failures() : 0;
		long baseMillis = INITIAL_GANG_BACKOFF.toMillis() << Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
		Instant notBefore = now().plusMillis(baseMillis + this.racks.random().nextLong(baseMillis));
		this.gangBackoffs.put(job.id(), new GangBackoff(failures + 1, notBefore));
	}

	/**
	 * Request the start of reserved attempts. Attempts of a run-once job are started only
	 * after the job's record is durable, and only if their workers are in the host list.
	 * Otherwise the removal of the worker could not be detected, and the reservations are
	 * released.
	 * @param job the job
	 * @param reservedByRack the reservations
	 * @param startCheck evaluated right before the start; nothing is started if it
	 * returns {@code false}
	 */
	void startReserved(Job job, Map<String, List<Reservation>> reservedByRack, BooleanSupplier startCheck) {
		if (job.workload().once() && !reservedByRack.values().stream().flatMap(List::stream).allMatch(this::isListed)) {
			releaseReservations(job, reservedByRack);
			return;
		}
		List<AttemptId> startable = new ArrayList<>();
		reservedByRack.values().forEach((reservations) -> reservations.forEach((reservation) -> {
			if (job.recordReservation(reservation.attempt(), reservation.worker(), reservation.incarnation())
					&& job.markStarting(reservation.attempt())) {
				startable.add(reservation.attempt());
			}
		}));
		if (startable.isEmpty()) {
			return;
		}
		Runnable sendStarts = () -> {
			if (startCheck.getAsBoolean()) {
				sendStarts(job, reservedByRack, startable);
			}
		};
		if (job.workload().once()) {
			this.store.enqueue(job, sendStarts);
		}
		else {
			sendStarts.run();
		}
	}

	private boolean isListed(Reservation reservation) {
		return this.workerListed.test(reservation.worker());
	}

	private void releaseReservations(Job job, Map<String, List<Reservation>> reservedByRack) {
		reservedByRack.forEach((rack, reservations) -> {
			List<AttemptId> attempts = reservations.stream().map(Reservation::attempt).toList();
			this.rackOwners.release(rack, attempts);
			attempts.forEach(job::markNotRunning);
		});
	}

	private void sendStarts(Job job, Map<String, List<Reservation>> reservedByRack, List<AttemptId> startable) {
		this.gangBackoffs.remove(job.id());
		Workload workload = job.workload();
		reservedByRack.forEach((rack, reservations) -> {
			List<StartTask> startRequests = reservations.stream()
				.map(Reservation::attempt)
				.filter(startable::contains)
				.filter(job::isStarting)
				.map((attempt) -> new StartTask(attempt, workload.team(), workload.size(), workload.runMillis()))
				.toList();
			if (!startRequests.isEmpty()) {
				this.rackOwners.start(rack, startRequests)
					.whenCompleteAsync((refused, failure) -> handleStartReply(job, startRequests, refused, failure),
							this.controlExecutor);
			}
		});
	}

	private void handleStartReply(Job job, List<StartTask> startRequests, List<AttemptId> refused, Throwable failure) {
		if (failure != null) {
			startRequests.forEach((request) -> job.markLeaseExpired(request.attempt()));
			return;
		}
		refused.forEach(job::markNotRunning);
	}

	/**
	 * Backoff of a gang that could not reserve capacity for all of its tasks.
	 *
	 * @param failures number of failures since the last start
	 * @param notBefore time of the next try
	 */
	private record GangBackoff(int failures, Instant notBefore) {

	}

}
