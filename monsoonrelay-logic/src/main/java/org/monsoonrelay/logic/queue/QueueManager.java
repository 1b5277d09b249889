package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
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
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.JobRecord;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.model.worker.WorkerId;
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

	private static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(1);

	private final Placer placer;

	private final TeamScheduler scheduler;

	private final AttemptReconciler followUp;

	private final JobRecordStore store;

	private final Executor controlExecutor;

	private final InstantSource clock;

	private final Map<String, TeamQueue> queues = new TreeMap<>();

	private final Map<JobId, Job> supersededJobs = new HashMap<>();

	private Map<JobId, Workload> declaredWorkloads = Map.of();

	private Instant nextReconcile = Instant.MIN;

	private Set<String> satisfiedElsewhere = Set.of();

	private InForce inForce = InForce.NOTHING;

	public QueueManager(RackOwners rackOwners, RackDirectory racks, JobRecordStoreFactory storeFactory,
			Executor controlExecutor, InstantSource clock) {
		this.store = storeFactory.create(this::reload);
		this.followUp = new AttemptReconciler(rackOwners, racks, clock);
		this.placer = new Placer(rackOwners, racks, this.store, controlExecutor, clock, this.followUp::isListed);
		this.scheduler = new TeamScheduler(this.placer, racks, this.store, clock);
		this.controlExecutor = controlExecutor;
		this.clock = clock;
	}

	/**
	 * Begin to own a team's queue. Its jobs are loaded; nothing is placed until
	 * {@link #activate(String)}.
	 * @param team the team
	 * @param epoch epoch of the ownership
	 */
	public void acquireOwnership(String team, long epoch) {
		TeamQueue current = this.queues.get(team);
		if (current == null || current.epoch() < epoch) {
			releaseOwnership(team);
			this.queues.put(team, new TeamQueue(epoch));
			loadMissing(team);
		}
	}

	/**
	 * Place work of a team from now on, because the racks' owners have told what runs.
	 * @param team the team
	 */
	public void activate(String team) {
		TeamQueue queue = this.queues.get(team);
		if (queue != null) {
			queue.activate();
		}
	}

	/**
	 * Cease to own a team's queue.
	 * @param team the team
	 */
	public void releaseOwnership(String team) {
		TeamQueue removed = this.queues.remove(team);
		if (removed != null) {
			removed.jobs().values().forEach(this::discard);
		}
	}

	private void discard(Job job) {
		job.retire();
		this.store.forget(job.id());
		this.placer.forget(job.id());
		this.scheduler.forget(job.id());
	}

	/**
	 * Take in a reading of the host list. A reading older than one seen before is left
	 * out.
	 * @param list the reading
	 */
	public void update(HostList list) {
		this.followUp.update(list);
		this.store.setHostsVersion(this.followUp.hostsVersion());
	}

	/**
	 * Take in a new version of what operators have in force.
	 * @param latest the version
	 */
	public void update(InForce latest) {
		this.inForce = latest;
		this.declaredWorkloads = latest.text()
			.workloads()
			.stream()
			.collect(Collectors.toMap(Workload::id, (workload) -> workload));
		this.queues.keySet().forEach(this::loadMissing);
		for (TeamQueue queue : this.queues.values()) {
			List.copyOf(queue.jobs().values()).forEach((job) -> applyDeclaration(queue, job));
		}
	}

	private void applyDeclaration(TeamQueue queue, Job job) {
		Workload workload = this.declaredWorkloads.get(job.id());
		Map<AttemptId, WorkerId> workers = workersByAttempt(job);
		if (workload != null && this.inForce.state().permits(job.id())) {
			job.redeclare(workload).forEach((attempt) -> stop(job, attempt, workers));
			return;
		}
		if (job.isFinal()) {
			removeIfUndeclared(queue, job);
			return;
		}
		job.cancel().forEach((attempt) -> stop(job, attempt, workers));
		this.followUp.handleCancelled(job);
		if (!this.inForce.state().cancelled().contains(job.id().toString())) {
			this.store.enqueue(job, () -> removeIfUndeclared(queue, job));
		}
	}

	private void stop(Job job, AttemptId attempt, Map<AttemptId, WorkerId> workers) {
		this.placer.stop(job, attempt, workers.get(attempt));
		this.followUp.scheduleStopRetry(attempt, workers.get(attempt), job.workload().team());
	}

	private void removeIfUndeclared(TeamQueue queue, Job job) {
		if (!this.declaredWorkloads.containsKey(job.id()) && job.isFinal()
				&& job.workload().kind() != WorkloadKind.SERVICE) {
			queue.jobs().remove(job.id());
			discard(job);
		}
	}

	private static Map<AttemptId, WorkerId> workersByAttempt(Job job) {
		Map<AttemptId, WorkerId> workers = new HashMap<>();
		for (TaskRecord task : job.tasks()) {
			workers.put(new AttemptId(job.id(), task.task(), task.attempt()), new WorkerId(task.worker()));
		}
		return workers;
	}

	private void loadMissing(String team) {
		TeamQueue queue = this.queues.get(team);
		for (Workload workload : this.declaredWorkloads.values()) {
			boolean isMissing = workload.team().equals(team) && !queue.jobs().containsKey(workload.id());
			if (isMissing && queue.loadingJobs().add(workload.id())) {
				load(team, queue, workload.id());
			}
		}
		queue.recordInitiallyDeclared(this.declaredWorkloads.keySet());
	}

	private void load(String team, TeamQueue queue, JobId id) {
		this.store.load(id).whenCompleteAsync((record, failure) -> {
			queue.loadingJobs().remove(id);
			Workload workload = this.declaredWorkloads.get(id);
			if (this.queues.get(team) != queue || workload == null) {
				return;
			}
			if (failure == null) {
				add(queue, workload, record);
			}
			else if (!workload.once() && queue.isDeclaredAfterLoad(id)) {
				add(queue, workload, JobRecord.NONE);
			}
		}, this.controlExecutor);
	}

	private void add(TeamQueue queue, Workload workload, JobRecord record) {
		Job job = new Job(workload, record, queue.epoch(), this.clock.instant());
		Optional.ofNullable(this.supersededJobs.remove(job.id())).ifPresent(job::succeed);
		queue.jobs().put(job.id(), job);
		applyDeclaration(queue, job);
	}

	private void reload(JobId id) {
		for (Map.Entry<String, TeamQueue> entry : this.queues.entrySet()) {
			Job removed = entry.getValue().jobs().remove(id);
			if (removed != null) {
				discard(removed);
				this.supersededJobs.put(id, removed);
				loadMissing(entry.getKey());
			}
		}
	}

	/**
	 * Names of workloads that other queue owners say are finished or up.
	 * @param names the names
	 */
	public void setDependenciesSatisfiedElsewhere(Set<String> names) {
		this.satisfiedElsewhere = Set.copyOf(names);
	}

	/**
	 * Names of own workloads that are finished or up.
	 * @return the names
	 */
	public Set<String> satisfiedDependencies() {
		return this.queues.values()
			.stream()
			.flatMap((queue) -> queue.jobs().values().stream())
			.filter(Job::satisfiesDependents)
			.map((job) -> job.id().name())
			.collect(Collectors.toSet());
	}

	/**
	 * Place what can be placed and write what has to last.
	 */
	public void tick() {
		Set<String> satisfied = new HashSet<>(this.satisfiedElsewhere);
		satisfied.addAll(satisfiedDependencies());
		reconcileIfDue();
		this.scheduler.runRound(this.queues, this.inForce, satisfied);
		this.store.flush();
	}

	private void reconcileIfDue() {
		Instant now = this.clock.instant();
		if (now.isBefore(this.nextReconcile)) {
			return;
		}
		this.nextReconcile = now.plus(RECONCILE_INTERVAL);
		this.queues.keySet().forEach(this::loadMissing);
		List<Job> jobs = this.queues.values().stream().flatMap((queue) -> queue.jobs().values().stream()).toList();
		this.followUp.reconcile(jobs, (job, attempt) -> {
			if (job.gone(attempt)) {
				this.store.enqueue(job, () -> {
				});
			}
		});
	}

	/**
	 * Take in what a rack's owner tells of an attempt.
	 * @param event the event
	 * @param team the team the attempt counts against
	 * @param acknowledge called with the event once it needs no repeat
	 */
	public void handleEvent(AttemptEvent event, String team, Consumer<AttemptEvent> acknowledge) {
		TeamQueue queue = this.queues.get(team);
		if (queue == null || queue.loadingJobs().contains(event.attempt().job())) {
			return;
		}
		this.followUp.recordReport(event.attempt(), isTerminal(event.kind()));
		Job job = queue.jobs().get(event.attempt().job());
		if (job == null) {
			if (isUndeclared(event.attempt().job())) {
				stopUnlessTerminal(event, team);
				acknowledge.accept(event);
			}
			return;
		}
		applyEvent(job, event, () -> acknowledge.accept(event));
	}

	private boolean isUndeclared(JobId id) {
		return this.inForce.head().version() > 0 && !this.declaredWorkloads.containsKey(id);
	}

	private static boolean isTerminal(AttemptEventKind kind) {
		return kind != AttemptEventKind.RUNNING && kind != AttemptEventKind.LAPSED;
	}

	private void stopUnlessTerminal(AttemptEvent event, String team) {
		if (!isTerminal(event.kind())) {
			this.followUp.stop(event.attempt(), event.worker(), team);
		}
	}

	private void applyEvent(Job job, AttemptEvent event, Runnable acknowledge) {
		AttemptId attempt = event.attempt();
		switch (event.kind()) {
			case RUNNING -> {
				this.followUp.handleRunning(job, event);
				acknowledge.run();
			}
			case LAPSED -> {
				job.lapsed(attempt);
				acknowledge.run();
			}
			case FINISHED -> acknowledgeWhenDurable(job, job.finished(attempt), acknowledge);
			case FAILED -> acknowledgeWhenDurable(job, job.failed(attempt, this.clock.instant()), acknowledge);
			case GONE -> acknowledgeWhenDurable(job, job.gone(attempt), acknowledge);
		}
	}

	private void acknowledgeWhenDurable(Job job, boolean changed, Runnable acknowledge) {
		job.noteFinish(this.clock.instant());
		if (changed || this.store.isPending(job.id())) {
			this.store.enqueue(job, acknowledge);
		}
		else {
			acknowledge.run();
		}
	}

	/**
	 * What operators read of the owned jobs.
	 * @return the status of each job
	 */
	public List<JobStatus> jobStatuses() {
		return this.queues.values()
			.stream()
			.flatMap((queue) -> queue.jobs().values().stream())
			.map((job) -> new JobStatus(job.id(), job.workload().kind(), job.workload().team(), job.workload().tasks(),
					job.counts(), this.scheduler.waitReason(job), job.tasks(), job.finishedAt().orElse(null)))
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
		TeamQueue queue = this.queues.get(team);
		return queue != null && queue.isActive();
	}

	/**
	 * Makes the journal that reports conflicts back.
	 */
	public interface JobRecordStoreFactory {

		/**
		 * Create the journal.
		 * @param onConflict called with a job whose row another owner has changed
		 * @return the journal
		 */
		JobRecordStore create(Consumer<JobId> onConflict);

	}

}
