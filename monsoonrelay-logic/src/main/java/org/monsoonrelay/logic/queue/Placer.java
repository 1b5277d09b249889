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
 * Opens attempts, asks racks' owners for room and has reserved attempts started.
 * Invariants: the attempt of a task that must run once is durable before it is started; a
 * gang starts all of its tasks or none. Not thread-safe: confined to the control thread,
 * which is also the executor for all answers.
 */
final class Placer {

	private static final Duration RESERVATION = Duration.ofSeconds(5);

	private static final Duration GANG_START_WITHIN = Duration.ofSeconds(3);

	private static final Duration FIRST_GANG_RETRY = Duration.ofMillis(100);

	private static final int MAXIMUM_RETRY_DOUBLINGS = 5;

	private final RackOwners rackOwners;

	private final RackDirectory racks;

	private final JobJournal journal;

	private final Executor control;

	private final InstantSource clock;

	private final Predicate<WorkerId> listed;

	private final Map<JobId, Map<AttemptId, String>> rackByAttempt = new HashMap<>();

	private final Map<JobId, GangRetry> gangRetries = new HashMap<>();

	Placer(RackOwners rackOwners, RackDirectory racks, JobJournal journal, Executor control, InstantSource clock,
			Predicate<WorkerId> listed) {
		this.rackOwners = rackOwners;
		this.racks = racks;
		this.journal = journal;
		this.control = control;
		this.clock = clock;
		this.listed = listed;
	}

	Instant now() {
		return this.clock.instant();
	}

	void forget(JobId id) {
		this.rackByAttempt.remove(id);
		this.gangRetries.remove(id);
	}

	/**
	 * Rack that an attempt was placed in.
	 * @param attempt the attempt
	 * @return the rack, empty if another owner placed it
	 */
	String rackOf(AttemptId attempt) {
		return this.rackByAttempt.getOrDefault(attempt.job(), Map.of()).getOrDefault(attempt, "");
	}

	/**
	 * Stop an attempt where it was placed.
	 * @param job the job
	 * @param attempt the attempt
	 * @param worker the worker it was placed on
	 */
	void stop(Job job, AttemptId attempt, WorkerId worker) {
		this.rackOwners.stop(rackOf(attempt), attempt, worker, job.workload().team());
	}

	/**
	 * Place tasks of a job as far as there is room.
	 * @param job the job
	 * @param tasks the tasks that may be placed
	 * @return how many attempts were opened
	 */
	int place(Job job, List<Integer> tasks) {
		if (job.workload().kind() == WorkloadKind.GANG) {
			return placeTogether(job, tasks);
		}
		Map<String, List<AttemptId>> byRack = new LinkedHashMap<>();
		Map<String, Integer> replicas = replicasByRack(job);
		int placed = 0;
		for (int task : tasks) {
			Optional<String> rack = this.racks.choose(job.workload().kind(), job.workload().size(), replicas);
			if (rack.isEmpty()) {
				break;
			}
			replicas.merge(rack.get(), 1, Integer::sum);
			AttemptId attempt = open(job, task, rack.get());
			byRack.computeIfAbsent(rack.get(), (name) -> new ArrayList<>()).add(attempt);
			placed++;
		}
		byRack.forEach((rack, attempts) -> reserve(job, rack, attempts));
		return placed;
	}

	private AttemptId open(Job job, int task, String rack) {
		AttemptId attempt = job.open(task);
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
		boolean atOnce = !job.workload().once();
		if (atOnce) {
			attempts.forEach(job::starting);
		}
		this.rackOwners.reserve(request(job, rack, attempts, atOnce)).whenCompleteAsync((reserved, failure) -> {
			if (failure != null) {
				abandon(job, rack, attempts);
				return;
			}
			List<AttemptId> refused = new ArrayList<>(attempts);
			reserved.forEach((reservation) -> refused.remove(reservation.attempt()));
			refused.forEach(job::gone);
			reserved.forEach((held) -> job.reservedOn(held.attempt(), held.worker(), held.incarnation()));
			noteAnswer(rack, job.workload().size(), refused.size());
			if (!atOnce) {
				record(job, Map.of(rack, reserved), () -> true);
			}
		}, this.control);
	}

	private void noteAnswer(String rack, Resources size, int refused) {
		if (refused > 0) {
			this.racks.refused(rack, size);
		}
		else {
			this.racks.accepted(size);
		}
	}

	private ReservationRequest request(Job job, String rack, List<AttemptId> attempts, boolean atOnce) {
		Workload workload = job.workload();
		return new ReservationRequest(rack, workload.team(), workload.kind(), workload.size(), workload.runMillis(),
				attempts, atOnce, now().plus(RESERVATION));
	}

	private void abandon(Job job, String rack, List<AttemptId> attempts) {
		for (AttemptId attempt : attempts) {
			this.rackOwners.stop(rack, attempt, new WorkerId(""), job.workload().team());
			job.gone(attempt);
		}
	}

	private int placeTogether(Job job, List<Integer> tasks) {
		Workload workload = job.workload();
		int wanted = workload.tasks() - job.count(TaskState.FINISHED) - job.openCount();
		GangRetry retry = this.gangRetries.get(job.id());
		if (wanted == 0 || tasks.size() < wanted || (retry != null && now().isBefore(retry.notBefore()))) {
			return 0;
		}
		List<String> chosen = new ArrayList<>();
		while (chosen.size() < wanted) {
			Optional<String> rack = this.racks.choose(WorkloadKind.GANG, workload.size(), Map.of());
			if (rack.isEmpty()) {
				chosen.forEach((name) -> this.racks.giveBack(name, workload.size()));
				return 0;
			}
			chosen.add(rack.get());
		}
		Map<String, List<AttemptId>> byRack = new LinkedHashMap<>();
		for (int index = 0; index < wanted; index++) {
			AttemptId attempt = open(job, tasks.get(index), chosen.get(index));
			byRack.computeIfAbsent(chosen.get(index), (name) -> new ArrayList<>()).add(attempt);
		}
		new GangReservation(this, job, byRack, now().plus(GANG_START_WITHIN)).begin();
		return wanted;
	}

	/**
	 * Ask one rack's owner for its part of a gang's room.
	 * @param job the gang
	 * @param rack the rack
	 * @param attempts the attempts to place there
	 * @param answered takes the reservations, none if no answer came
	 */
	void askForGang(Job job, String rack, List<AttemptId> attempts, Consumer<List<Reservation>> answered) {
		this.rackOwners.reserve(request(job, rack, attempts, false)).whenCompleteAsync((reservations, failure) -> {
			if (failure == null) {
				noteAnswer(rack, job.workload().size(), attempts.size() - reservations.size());
			}
			answered.accept((failure != null) ? List.of() : reservations);
		}, this.control);
	}

	/**
	 * Give back all room that a gang holds or may hold, and let it wait before it tries
	 * again. The wait grows and is drawn at random, so that gangs which want the same
	 * room do not meet again.
	 * @param job the gang
	 * @param byRack its attempts, none of which was started
	 */
	void giveUp(Job job, Map<String, List<AttemptId>> byRack) {
		byRack.forEach((rack, attempts) -> {
			this.rackOwners.release(rack, attempts);
			attempts.forEach((attempt) -> {
				job.gone(attempt);
				this.racks.giveBack(rack, job.workload().size());
			});
		});
		GangRetry before = this.gangRetries.get(job.id());
		int tries = (before != null) ? before.tries() : 0;
		long bound = FIRST_GANG_RETRY.toMillis() << Math.min(tries, MAXIMUM_RETRY_DOUBLINGS);
		Instant notBefore = now().plusMillis(bound + this.racks.random().nextLong(bound));
		this.gangRetries.put(job.id(), new GangRetry(tries + 1, notBefore));
	}

	/**
	 * Have reserved attempts started, those that must run once after their record is
	 * durable.
	 * @param job the job
	 * @param reservedByRack the reservations
	 * @param mayStart asked right before the start
	 */
	void record(Job job, Map<String, List<Reservation>> reservedByRack, BooleanSupplier mayStart) {
		if (job.workload().once() && !reservedByRack.values().stream().flatMap(List::stream).allMatch(this::isListed)) {
			releaseAll(job, reservedByRack);
			return;
		}
		List<AttemptId> held = new ArrayList<>();
		reservedByRack.values().forEach((reservations) -> reservations.forEach((reservation) -> {
			if (job.reservedOn(reservation.attempt(), reservation.worker(), reservation.incarnation())
					&& job.starting(reservation.attempt())) {
				held.add(reservation.attempt());
			}
		}));
		if (held.isEmpty()) {
			return;
		}
		Runnable start = () -> {
			if (mayStart.getAsBoolean()) {
				start(job, reservedByRack, held);
			}
		};
		if (job.workload().once()) {
			this.journal.mark(job, start);
		}
		else {
			start.run();
		}
	}

	private boolean isListed(Reservation reservation) {
		return this.listed.test(reservation.worker());
	}

	private void releaseAll(Job job, Map<String, List<Reservation>> reservedByRack) {
		reservedByRack.forEach((rack, reservations) -> {
			List<AttemptId> attempts = reservations.stream().map(Reservation::attempt).toList();
			this.rackOwners.release(rack, attempts);
			attempts.forEach(job::gone);
		});
	}

	private void start(Job job, Map<String, List<Reservation>> reservedByRack, List<AttemptId> held) {
		this.gangRetries.remove(job.id());
		Workload workload = job.workload();
		reservedByRack.forEach((rack, reservations) -> {
			List<StartTask> starts = reservations.stream()
				.map(Reservation::attempt)
				.filter(held::contains)
				.filter(job::isStarting)
				.map((attempt) -> new StartTask(attempt, workload.team(), workload.size(), workload.runMillis()))
				.toList();
			if (!starts.isEmpty()) {
				this.rackOwners.start(rack, starts)
					.whenCompleteAsync((refused, failure) -> started(job, starts, refused, failure), this.control);
			}
		});
	}

	private void started(Job job, List<StartTask> starts, List<AttemptId> refused, Throwable failure) {
		if (failure != null) {
			starts.forEach((start) -> job.lapsed(start.attempt()));
			return;
		}
		refused.forEach(job::gone);
	}

	private record GangRetry(int tries, Instant notBefore) {

	}

}
