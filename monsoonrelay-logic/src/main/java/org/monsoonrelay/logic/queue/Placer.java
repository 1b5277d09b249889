package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.rack.StartTask;
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

	private static final Duration GANG_RETRY = Duration.ofMillis(300);

	private final RackOwners rackOwners;

	private final RackDirectory racks;

	private final JobJournal journal;

	private final Executor control;

	private final InstantSource clock;

	private final Predicate<WorkerId> listed;

	private final Map<JobId, Map<AttemptId, String>> rackByAttempt = new HashMap<>();

	private final Map<JobId, Instant> gangNotBefore = new HashMap<>();

	Placer(RackOwners rackOwners, RackDirectory racks, JobJournal journal, Executor control, InstantSource clock,
			Predicate<WorkerId> listed) {
		this.rackOwners = rackOwners;
		this.racks = racks;
		this.journal = journal;
		this.control = control;
		this.clock = clock;
		this.listed = listed;
	}

	void forget(JobId id) {
		this.rackByAttempt.remove(id);
		this.gangNotBefore.remove(id);
	}

	/**
	 * Stop an attempt where it was placed.
	 * @param job the job
	 * @param attempt the attempt
	 * @param worker the worker it was placed on
	 */
	void stop(Job job, AttemptId attempt, WorkerId worker) {
		String rack = this.rackByAttempt.getOrDefault(job.id(), Map.of()).getOrDefault(attempt, "");
		this.rackOwners.stop(rack, attempt, worker, job.workload().team());
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
		int placed = 0;
		for (int task : tasks) {
			Optional<String> rack = this.racks.choose(job.workload().kind(), job.workload().size(),
					replicasByRack(job));
			if (rack.isEmpty()) {
				break;
			}
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
		Map<AttemptId, String> racksOfJob = this.rackByAttempt.getOrDefault(job.id(), Map.of());
		job.openAttempts().forEach((attempt) -> {
			String rack = racksOfJob.get(attempt);
			if (rack != null) {
				replicas.merge(rack, 1, Integer::sum);
			}
		});
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
			if (!atOnce) {
				record(job, Map.of(rack, reserved));
			}
		}, this.control);
	}

	private ReservationRequest request(Job job, String rack, List<AttemptId> attempts, boolean atOnce) {
		Workload workload = job.workload();
		return new ReservationRequest(rack, workload.team(), workload.kind(), workload.size(), workload.runMillis(),
				attempts, atOnce, this.clock.instant().plus(RESERVATION));
	}

	private void abandon(Job job, String rack, List<AttemptId> attempts) {
		for (AttemptId attempt : attempts) {
			this.rackOwners.stop(rack, attempt, new WorkerId(""), job.workload().team());
			job.gone(attempt);
		}
	}

	private int placeTogether(Job job, List<Integer> tasks) {
		int wanted = job.workload().tasks() - job.counts().getOrDefault(TaskState.FINISHED, 0);
		Instant now = this.clock.instant();
		if (tasks.size() < wanted || now.isBefore(this.gangNotBefore.getOrDefault(job.id(), Instant.MIN))) {
			return 0;
		}
		List<String> chosen = new ArrayList<>();
		for (int count = 0; count < wanted; count++) {
			this.racks.choose(WorkloadKind.GANG, job.workload().size(), Map.of()).ifPresent(chosen::add);
		}
		if (chosen.size() < wanted) {
			return 0;
		}
		Map<String, List<AttemptId>> byRack = new LinkedHashMap<>();
		for (int index = 0; index < wanted; index++) {
			AttemptId attempt = open(job, tasks.get(index), chosen.get(index));
			byRack.computeIfAbsent(chosen.get(index), (name) -> new ArrayList<>()).add(attempt);
		}
		new GangReservation(job, byRack, wanted).begin();
		return wanted;
	}

	private void record(Job job, Map<String, List<Reservation>> reservedByRack) {
		if (job.workload().once() && !reservedByRack.values().stream().flatMap(List::stream).allMatch(this::isListed)) {
			giveUp(job, reservedByRack);
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
		if (job.workload().once()) {
			this.journal.mark(job, () -> start(job, reservedByRack, held));
		}
		else {
			start(job, reservedByRack, held);
		}
	}

	private boolean isListed(Reservation reservation) {
		return this.listed.test(reservation.worker());
	}

	private void giveUp(Job job, Map<String, List<Reservation>> reservedByRack) {
		reservedByRack.forEach((rack, reservations) -> {
			List<AttemptId> attempts = reservations.stream().map(Reservation::attempt).toList();
			this.rackOwners.release(rack, attempts);
			attempts.forEach(job::gone);
		});
	}

	private void start(Job job, Map<String, List<Reservation>> reservedByRack, List<AttemptId> held) {
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

	/**
	 * One try to hold room for all tasks of a gang. Either all start or all are released.
	 */
	private final class GangReservation {

		private final Job job;

		private final Map<String, List<AttemptId>> byRack;

		private final int wanted;

		private final Map<String, List<Reservation>> reserved = new LinkedHashMap<>();

		private int answersMissing;

		GangReservation(Job job, Map<String, List<AttemptId>> byRack, int wanted) {
			this.job = job;
			this.byRack = byRack;
			this.wanted = wanted;
			this.answersMissing = byRack.size();
		}

		void begin() {
			this.byRack
				.forEach((rack, attempts) -> Placer.this.rackOwners.reserve(request(this.job, rack, attempts, false))
					.whenCompleteAsync(
							(reservations, failure) -> answered(rack, (failure != null) ? List.of() : reservations),
							Placer.this.control));
		}

		private void answered(String rack, List<Reservation> reservations) {
			this.reserved.put(rack, reservations);
			this.answersMissing--;
			if (this.answersMissing > 0) {
				return;
			}
			int held = this.reserved.values().stream().mapToInt(List::size).sum();
			if (held == this.wanted) {
				record(this.job, this.reserved);
				return;
			}
			this.byRack.forEach((name, attempts) -> {
				Placer.this.rackOwners.release(name, attempts);
				attempts.forEach(this.job::gone);
			});
			Placer.this.gangNotBefore.put(this.job.id(), Placer.this.clock.instant().plus(GANG_RETRY));
		}

	}

}
