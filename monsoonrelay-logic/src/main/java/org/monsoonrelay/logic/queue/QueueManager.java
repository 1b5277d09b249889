package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.control.InForce;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.Team;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Owner of teams' queues: orders their jobs, keeps their quotas, asks racks' owners for
 * room and keeps the jobs' progress durable. Invariants: the attempt of a task that must
 * run once is durable before it is started; a gang starts all of its tasks or none; the
 * end of an attempt is acknowledged only after it is durable. Not thread-safe: confined
 * to the control thread, which is also the executor for all answers.
 */
public final class QueueManager {

	private static final Duration RESERVATION = Duration.ofSeconds(5);

	private static final Duration GANG_RETRY = Duration.ofMillis(300);

	private static final Duration RESOLVE_INTERVAL = Duration.ofSeconds(1);

	private static final int MAXIMUM_STARTS_A_TICK = 4096;

	private final RackOwners rackOwners;

	private final RackDirectory racks;

	private final JobJournal journal;

	private final Executor control;

	private final InstantSource clock;

	private final Map<String, Queue> queues = new TreeMap<>();

	private final Map<JobId, Map<AttemptId, String>> rackByAttempt = new HashMap<>();

	private final Map<JobId, WaitReason> waitReasons = new HashMap<>();

	private final Map<JobId, Instant> gangNotBefore = new HashMap<>();

	private Instant resolveNotBefore = Instant.MIN;

	private Set<String> satisfiedElsewhere = Set.of();

	private InForce inForce = InForce.NOTHING;

	public QueueManager(RackOwners rackOwners, RackDirectory racks, JobJournalFactory journals, Executor control,
			InstantSource clock) {
		this.rackOwners = rackOwners;
		this.racks = racks;
		this.journal = journals.create(this::reload);
		this.control = control;
		this.clock = clock;
	}

	/**
	 * Begin to own a team's queue. Its jobs are loaded; nothing is placed until
	 * {@link #activate(String)}.
	 * @param team the team
	 * @param epoch epoch of the ownership
	 */
	public void own(String team, long epoch) {
		Queue present = this.queues.get(team);
		if (present == null || present.epoch < epoch) {
			this.queues.put(team, new Queue(epoch));
			loadMissing(team);
		}
	}

	/**
	 * Place work of a team from now on, because the racks' owners have told what runs.
	 * @param team the team
	 */
	public void activate(String team) {
		Queue queue = this.queues.get(team);
		if (queue != null) {
			queue.active = true;
		}
	}

	/**
	 * Cease to own a team's queue.
	 * @param team the team
	 */
	public void disown(String team) {
		Queue removed = this.queues.remove(team);
		if (removed != null) {
			removed.jobs.keySet().forEach(this::drop);
		}
	}

	private void drop(JobId id) {
		this.journal.forget(id);
		this.rackByAttempt.remove(id);
		this.waitReasons.remove(id);
		this.gangNotBefore.remove(id);
	}

	/**
	 * Take in a new version of what operators have in force.
	 * @param next the version
	 */
	public void update(InForce next) {
		this.inForce = next;
		this.queues.keySet().forEach(this::loadMissing);
		Map<JobId, Workload> declared = next.text()
			.workloads()
			.stream()
			.collect(Collectors.toMap(Workload::id, (workload) -> workload));
		for (Queue queue : this.queues.values()) {
			List.copyOf(queue.jobs.values()).forEach((job) -> adapt(queue, job, declared.get(job.id())));
		}
	}

	private void adapt(Queue queue, Job job, Workload declared) {
		if (declared == null || !this.inForce.state().permits(job.id())) {
			if (!job.isFinal()) {
				Map<AttemptId, WorkerId> workers = workers(job);
				job.cancel().forEach((attempt) -> stop(job, attempt, workers.get(attempt)));
				this.journal.mark(job, () -> removeIfUndeclared(queue, job));
			}
			else {
				removeIfUndeclared(queue, job);
			}
			return;
		}
		Map<AttemptId, WorkerId> workers = workers(job);
		job.redeclare(declared).forEach((attempt) -> stop(job, attempt, workers.get(attempt)));
	}

	private void removeIfUndeclared(Queue queue, Job job) {
		boolean declared = this.inForce.text()
			.workloads()
			.stream()
			.anyMatch((workload) -> workload.id().equals(job.id()));
		if (!declared && job.isFinal() && job.workload().kind() != WorkloadKind.SERVICE) {
			queue.jobs.remove(job.id());
			drop(job.id());
		}
	}

	private void stop(Job job, AttemptId attempt, WorkerId worker) {
		String rack = this.rackByAttempt.getOrDefault(job.id(), Map.of()).getOrDefault(attempt, "");
		this.rackOwners.stop(rack, attempt, worker, job.workload().team());
	}

	private static Map<AttemptId, WorkerId> workers(Job job) {
		Map<AttemptId, WorkerId> workers = new HashMap<>();
		for (TaskRecord task : job.tasks()) {
			workers.put(new AttemptId(job.id(), task.task(), task.attempt()), new WorkerId(task.worker()));
		}
		return workers;
	}

	private void loadMissing(String team) {
		Queue queue = this.queues.get(team);
		for (Workload workload : this.inForce.text().workloads()) {
			boolean wanted = workload.team().equals(team) && !queue.jobs.containsKey(workload.id());
			if (wanted && queue.loading.add(workload.id())) {
				load(team, queue, workload);
			}
		}
	}

	private void load(String team, Queue queue, Workload workload) {
		this.journal.load(workload.id()).whenCompleteAsync((record, failure) -> {
			queue.loading.remove(workload.id());
			if (this.queues.get(team) != queue || failure != null) {
				return;
			}
			Job job = new Job(workload, record, queue.epoch, this.clock.instant());
			queue.jobs.put(workload.id(), job);
			if (!this.inForce.state().permits(job.id())) {
				adapt(queue, job, null);
			}
		}, this.control);
	}

	private void reload(JobId id) {
		for (Map.Entry<String, Queue> entry : this.queues.entrySet()) {
			Job removed = entry.getValue().jobs.remove(id);
			if (removed != null) {
				drop(id);
				loadMissing(entry.getKey());
			}
		}
	}

	/**
	 * Names of workloads that other queue owners say are finished or up.
	 * @param names the names
	 */
	public void satisfiedElsewhere(Set<String> names) {
		this.satisfiedElsewhere = Set.copyOf(names);
	}

	/**
	 * Names of own workloads that are finished or up.
	 * @return the names
	 */
	public Set<String> satisfied() {
		return this.queues.values()
			.stream()
			.flatMap((queue) -> queue.jobs.values().stream())
			.filter(Job::satisfiesDependents)
			.map((job) -> job.id().name())
			.collect(Collectors.toSet());
	}

	/**
	 * Place what can be placed and write what has to last.
	 */
	public void tick() {
		Set<String> satisfied = satisfied();
		resolveDoubts();
		int budget = MAXIMUM_STARTS_A_TICK;
		for (Map.Entry<String, Queue> entry : this.queues.entrySet()) {
			loadMissing(entry.getKey());
			budget -= schedule(entry.getKey(), entry.getValue(), satisfied, budget);
		}
		this.journal.flush();
	}

	private int schedule(String team, Queue queue, Set<String> satisfied, int budget) {
		Resources quota = this.inForce.text().team(team).map(Team::quota).orElse(Resources.NONE);
		Resources used = queue.used();
		int started = 0;
		for (Job job : queue.inOrder()) {
			WaitReason reason = blockedBy(queue, job, satisfied);
			if (reason != WaitReason.NONE || started >= budget) {
				this.waitReasons.put(job.id(), reason);
				continue;
			}
			List<Integer> placeable = job.placeable(this.clock.instant());
			int fits = withinQuota(quota, used, job.workload().size(), placeable.size());
			List<Integer> chosen = placeable.subList(0, Math.min(fits, budget - started));
			int placed = place(job, chosen);
			used = used.plus(job.workload().size().times(placed));
			started += placed;
			this.waitReasons.put(job.id(), reasonAfter(job, placeable.size(), fits, placed));
		}
		return started;
	}

	private WaitReason blockedBy(Queue queue, Job job, Set<String> satisfied) {
		if (job.isFinal() || !this.inForce.state().permits(job.id())) {
			return (job.isFinal()) ? WaitReason.NONE : WaitReason.RECOVERING;
		}
		if (!queue.active) {
			return WaitReason.RECOVERING;
		}
		boolean ready = job.workload()
			.dependsOn()
			.stream()
			.allMatch((name) -> satisfied.contains(name) || this.satisfiedElsewhere.contains(name));
		if (!ready) {
			return WaitReason.DEPENDENCY;
		}
		if (job.workload().once() && !this.journal.isAvailable()) {
			return WaitReason.PLATFORM_UNAVAILABLE;
		}
		return WaitReason.NONE;
	}

	private static WaitReason reasonAfter(Job job, int placeable, int fits, int placed) {
		if (job.counts().containsKey(TaskState.IN_DOUBT)) {
			return WaitReason.WORKER_SILENT;
		}
		if (placeable == 0) {
			return job.counts().containsKey(TaskState.WAITING) ? WaitReason.BACKOFF : WaitReason.NONE;
		}
		if (fits < placeable) {
			return WaitReason.QUOTA;
		}
		return (placed < placeable) ? WaitReason.NO_ROOM : WaitReason.NONE;
	}

	private static int withinQuota(Resources quota, Resources used, Resources size, int wanted) {
		int fits = 0;
		Resources sum = used;
		while (fits < wanted && quota.covers(sum.plus(size))) {
			sum = sum.plus(size);
			fits++;
		}
		return fits;
	}

	private int place(Job job, List<Integer> tasks) {
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

	private void start(Job job, Map<String, List<Reservation>> reservedByRack, List<AttemptId> held) {
		Workload workload = job.workload();
		reservedByRack.forEach((rack, reservations) -> {
			List<StartTask> starts = reservations.stream()
				.map(Reservation::attempt)
				.filter(held::contains)
				.filter((attempt) -> job.state(attempt.task()) == TaskState.STARTING)
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

	private void resolveDoubts() {
		Instant now = this.clock.instant();
		if (now.isBefore(this.resolveNotBefore)) {
			return;
		}
		this.resolveNotBefore = now.plus(RESOLVE_INTERVAL);
		this.queues.values().forEach((queue) -> queue.jobs.values().forEach(this::resolveDoubts));
	}

	private void resolveDoubts(Job job) {
		if (!job.counts().containsKey(TaskState.IN_DOUBT)) {
			return;
		}
		for (TaskRecord task : job.tasks()) {
			if (task.state() == TaskState.IN_DOUBT) {
				AttemptId attempt = new AttemptId(job.id(), task.task(), task.attempt());
				this.rackOwners.resolve("", attempt, new WorkerId(task.worker()), task.incarnation(),
						job.workload().team());
			}
		}
	}

	/**
	 * Take in what a rack's owner tells of an attempt.
	 * @param event the event
	 * @param team the team the attempt counts against
	 * @param acknowledge called with the event once it needs no repeat
	 */
	public void take(AttemptEvent event, String team, Consumer<AttemptEvent> acknowledge) {
		Queue queue = this.queues.get(team);
		if (queue == null || !queue.loading.isEmpty()) {
			return;
		}
		Job job = queue.jobs.get(event.attempt().job());
		if (job == null) {
			if (isUndeclared(event.attempt().job())) {
				stopUnwanted(event, team);
				acknowledge.accept(event);
			}
			return;
		}
		apply(job, event, () -> acknowledge.accept(event));
	}

	private boolean isUndeclared(JobId id) {
		return this.inForce.head().version() > 0
				&& this.inForce.text().workloads().stream().noneMatch((workload) -> workload.id().equals(id));
	}

	private void stopUnwanted(AttemptEvent event, String team) {
		switch (event.kind()) {
			case RUNNING, LAPSED -> this.rackOwners.stop("", event.attempt(), event.worker(), team);
			default -> {
			}
		}
	}

	private void apply(Job job, AttemptEvent event, Runnable acknowledge) {
		AttemptId attempt = event.attempt();
		switch (event.kind()) {
			case RUNNING -> {
				job.running(attempt, event.worker());
				if (!isCurrent(job, attempt)) {
					stopUnwanted(event, job.workload().team());
				}
				acknowledge.run();
			}
			case LAPSED -> {
				job.lapsed(attempt);
				acknowledge.run();
			}
			case FINISHED -> durably(job, job.finished(attempt), acknowledge);
			case FAILED -> durably(job, job.failed(attempt, this.clock.instant()), acknowledge);
			case GONE -> durably(job, job.gone(attempt), acknowledge);
		}
	}

	private void durably(Job job, boolean changed, Runnable acknowledge) {
		if (changed || this.journal.isPending(job.id())) {
			this.journal.mark(job, acknowledge);
		}
		else {
			acknowledge.run();
		}
	}

	private static boolean isCurrent(Job job, AttemptId attempt) {
		TaskRecord task = job.tasks()
			.stream()
			.filter((candidate) -> candidate.task() == attempt.task())
			.findFirst()
			.orElse(null);
		return task != null && task.attempt() == attempt.attempt() && task.state() == TaskState.RUNNING;
	}

	/**
	 * What operators read of the owned jobs.
	 * @return the status of each job
	 */
	public List<JobStatus> status() {
		return this.queues.values()
			.stream()
			.flatMap((queue) -> queue.jobs.values().stream())
			.map((job) -> new JobStatus(job.id(), job.workload().kind(), job.workload().team(), job.workload().tasks(),
					job.counts(), this.waitReasons.getOrDefault(job.id(), WaitReason.NONE), job.tasks()))
			.toList();
	}

	/**
	 * The teams whose queues are owned.
	 * @return the names
	 */
	public Set<String> teams() {
		return Set.copyOf(this.queues.keySet());
	}

	/**
	 * Tell whether a team's queue places work.
	 * @param team the team
	 * @return {@code false} while it is not owned or not yet active
	 */
	public boolean isActive(String team) {
		Queue queue = this.queues.get(team);
		return queue != null && queue.active;
	}

	/**
	 * Makes the journal that reports conflicts back.
	 */
	public interface JobJournalFactory {

		/**
		 * Create the journal.
		 * @param onConflict called with a job whose row another owner has changed
		 * @return the journal
		 */
		JobJournal create(Consumer<JobId> onConflict);

	}

	private static final class Queue {

		private final long epoch;

		private final Map<JobId, Job> jobs = new TreeMap<>();

		private final Set<JobId> loading = new HashSet<>();

		private boolean active;

		Queue(long epoch) {
			this.epoch = epoch;
		}

		Resources used() {
			Resources used = Resources.NONE;
			for (Job job : this.jobs.values()) {
				used = used.plus(job.workload().size().times(job.openAttempts().size()));
			}
			return used;
		}

		List<Job> inOrder() {
			return this.jobs.values()
				.stream()
				.sorted(Comparator.comparing((Job job) -> !job.workload().urgent())
					.thenComparing((job) -> job.workload().kind())
					.thenComparing(Job::readySince)
					.thenComparing(Job::id))
				.toList();
		}

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
			this.byRack.forEach(
					(rack, attempts) -> QueueManager.this.rackOwners.reserve(request(this.job, rack, attempts, false))
						.whenCompleteAsync(
								(reservations, failure) -> answered(rack, (failure != null) ? List.of() : reservations),
								QueueManager.this.control));
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
				QueueManager.this.rackOwners.release(name, attempts);
				attempts.forEach(this.job::gone);
			});
			QueueManager.this.gangNotBefore.put(this.job.id(), QueueManager.this.clock.instant().plus(GANG_RETRY));
		}

	}

}
