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

import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.placement.AttemptEvent;
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
 * Manages the team queues that this process owns: orders their jobs, enforces quotas,
 * places tasks with the owners of racks and stores the progress of jobs. Invariants: an
 * attempt of a run-once task is durable before it is started; a gang starts all of its
 * tasks or none; the end of an attempt is acknowledged only after it is durable; an
 * attempt or record of a later epoch is left to the successor that it shows. Not
 * thread-safe: confined to the control thread, which also handles all replies.
 */
public final class QueueManager {

	private static final System.Logger LOGGER = System.getLogger(QueueManager.class.getName());

	private static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(1);

	private final Placer placer;

	private final TeamScheduler scheduler;

	private final AttemptReconciler reconciler;

	private final JobRecordStore store;

	private final Executor controlExecutor;

	private final InstantSource clock;

	private final Map<String, TeamQueue> queues = new TreeMap<>();

	private final Map<JobId, Job> supersededJobs = new HashMap<>();

	private Map<JobId, Workload> declaredWorkloads = Map.of();

	private Instant nextReconcile = Instant.MIN;

	private Set<String> satisfiedElsewhere = Set.of();

	private ActiveControlState inForce = ActiveControlState.NONE;

	public QueueManager(RackOwners rackOwners, RackDirectory racks, JobRecordStoreFactory storeFactory,
			Executor controlExecutor, InstantSource clock) {
		this.store = storeFactory.create(this::reloadAfterConflict);
		this.reconciler = new AttemptReconciler(rackOwners, racks, clock);
		this.placer = new Placer(rackOwners, racks, this.store, controlExecutor, clock, this.reconciler::isListed);
		this.scheduler = new TeamScheduler(this.placer, racks, this.store, clock);
		this.controlExecutor = controlExecutor;
		this.clock = clock;
	}

	/**
	 * Acquire the ownership of a team's queue and load its jobs. Nothing is placed until
	 * {@link #activate(String)} is called. Does nothing if the queue is owned under this
	 * or a later epoch.
	 * @param team the team
	 * @param epoch the epoch of the ownership
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
	 * Start placing work of a team. Called once the owners of the racks have reported
	 * which attempts run.
	 * @param team the team
	 */
	public void activate(String team) {
		TeamQueue queue = this.queues.get(team);
		if (queue != null) {
			queue.activate();
		}
	}

	/**
	 * Release the ownership of a team's queue and discard its jobs.
	 * @param team the team
	 */
	public void releaseOwnership(String team) {
		TeamQueue removed = this.queues.remove(team);
		if (removed != null) {
			removed.jobs().values().forEach(this::discard);
		}
	}

	private boolean releaseIfSuperseded(String team, TeamQueue queue, long epoch) {
		if (epoch <= queue.epoch()) {
			return false;
		}
		LOGGER.log(System.Logger.Level.INFO, "the queue of {0} has another owner since epoch {1}", team, epoch);
		releaseOwnership(team);
		return true;
	}

	private void discard(Job job) {
		job.retire();
		this.store.forget(job.id());
		this.placer.forget(job.id());
		this.scheduler.forget(job.id());
	}

	/**
	 * Apply a host list. A list older than the latest one is ignored.
	 * @param list the host list
	 */
	public void update(HostList list) {
		this.reconciler.update(list);
		this.store.setHostsVersion(this.reconciler.hostsVersion());
	}

	/**
	 * Apply a new version of the configuration and of the operators' edits: load newly
	 * declared jobs, cancel those that are no longer declared or permitted, and update
	 * the others.
	 * @param latest the version in force
	 */
	public void update(ActiveControlState latest) {
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
			job.updateDeclaration(workload).forEach((attempt) -> stop(job, attempt, workers));
			return;
		}
		if (job.isFinal()) {
			removeIfUndeclared(queue, job);
			return;
		}
		job.cancel().forEach((attempt) -> stop(job, attempt, workers));
		this.reconciler.handleCancelled(job);
		if (!this.inForce.state().cancelled().contains(job.id().toString())) {
			this.store.enqueue(job, () -> removeIfUndeclared(queue, job));
		}
	}

	private void stop(Job job, AttemptId attempt, Map<AttemptId, WorkerId> workers) {
		this.placer.stop(job, attempt, workers.get(attempt));
		this.reconciler.scheduleStopRetry(attempt, workers.get(attempt), job.workload().team());
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
		this.store.load(id).whenCompleteAsync((stored, failure) -> {
			queue.loadingJobs().remove(id);
			Workload workload = this.declaredWorkloads.get(id);
			if (this.queues.get(team) != queue || workload == null) {
				return;
			}
			if (failure == null) {
				if (!releaseIfSuperseded(team, queue, stored.record().queueEpoch())) {
					this.store.adopt(id, stored);
					add(queue, workload, stored.record());
				}
			}
			else if (!workload.once() && queue.isDeclaredAfterLoad(id)) {
				// Cannot have a record yet; all others are loaded again in a later round.
				add(queue, workload, JobRecord.NONE);
			}
		}, this.controlExecutor);
	}

	private void add(TeamQueue queue, Workload workload, JobRecord record) {
		Job job = new Job(workload, record, queue.epoch(), this.clock.instant());
		Optional.ofNullable(this.supersededJobs.remove(job.id())).ifPresent(job::continueAttemptNumbersOf);
		queue.jobs().put(job.id(), job);
		applyDeclaration(queue, job);
	}

	private void reloadAfterConflict(JobId id) {
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
	 * Set the dependencies that other queue owners report as satisfied.
	 * @param names names of workloads that have finished or are up
	 */
	public void setDependenciesSatisfiedElsewhere(Set<String> names) {
		this.satisfiedElsewhere = Set.copyOf(names);
	}

	/**
	 * Return the dependencies that the jobs of the owned queues satisfy.
	 * @return names of workloads that have finished or are up
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
	 * Run one round: reconcile attempts if due, place waiting tasks and commit enqueued
	 * job records.
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
		this.reconciler.reconcile(jobs, (job, attempt) -> {
			if (job.markNotRunning(attempt)) {
				this.store.enqueue(job, () -> {
				});
			}
		});
	}

	/**
	 * Handle an attempt event from a rack owner. An event that cannot be handled yet is
	 * not acknowledged, so that the rack owner sends it again.
	 * @param event the event
	 * @param team the team whose quota the attempt uses
	 * @param acknowledge called with the event once it has been handled durably
	 */
	public void handleEvent(AttemptEvent event, String team, Consumer<AttemptEvent> acknowledge) {
		TeamQueue queue = this.queues.get(team);
		if (queue == null || releaseIfSuperseded(team, queue, event.attempt().queueEpoch())
				|| queue.loadingJobs().contains(event.attempt().job())) {
			return;
		}
		boolean isStopRequested = this.reconciler.isStopRequested(event.attempt());
		this.reconciler.recordReport(event.attempt(), event.kind().isTerminal());
		Job job = queue.jobs().get(event.attempt().job());
		if (job == null) {
			if (isUndeclared(event.attempt().job())) {
				stopUnlessTerminal(event, team);
				acknowledge.accept(event);
			}
			return;
		}
		boolean isInherited = event.attempt().queueEpoch() < queue.epoch();
		if (isInherited && this.store.mustWriteBefore(job, event)) {
			return;
		}
		applyEvent(job, event, isStopRequested, () -> acknowledge.accept(event));
	}

	private boolean isUndeclared(JobId id) {
		return this.inForce.head().version() > 0 && !this.declaredWorkloads.containsKey(id);
	}

	private void stopUnlessTerminal(AttemptEvent event, String team) {
		if (!event.kind().isTerminal()) {
			this.reconciler.stop(event.attempt(), event.worker(), team);
		}
	}

	private void applyEvent(Job job, AttemptEvent event, boolean isStopRequested, Runnable acknowledge) {
		AttemptId attempt = event.attempt();
		switch (event.kind()) {
			case RUNNING -> {
				this.reconciler.handleRunning(job, event);
				acknowledge.run();
			}
			case LAPSED -> {
				job.markLeaseExpired(attempt);
				acknowledge.run();
			}
			case FINISHED -> acknowledgeWhenDurable(job, job.markFinished(attempt), acknowledge);
			case FAILED -> acknowledgeWhenDurable(job, job.markFailed(attempt, this.clock.instant()), acknowledge);
			case GONE -> acknowledgeWhenDurable(job,
					isStopRequested ? job.markNotRunning(attempt) : job.markLost(attempt, this.clock.instant()),
					acknowledge);
		}
	}

	private void acknowledgeWhenDurable(Job job, boolean changed, Runnable acknowledge) {
		job.recordFinish(this.clock.instant());
		if (changed || this.store.isPending(job)) {
			this.store.enqueue(job, acknowledge);
		}
		else {
			acknowledge.run();
		}
	}

	/**
	 * Return the status of the jobs of the owned queues.
	 * @return the status of each job
	 */
	public List<JobStatus> jobStatuses() {
		return this.queues.values()
			.stream()
			.flatMap((queue) -> queue.jobs().values().stream())
			.map((job) -> new JobStatus(job.id(), job.workload().kind(), job.workload().team(), job.workload().tasks(),
					job.stateCounts(), this.scheduler.waitReason(job), job.tasks(), job.finishedAt().orElse(null)))
			.toList();
	}

	/**
	 * Return the teams whose queues this process owns.
	 * @return the names of the teams
	 */
	public Set<String> teams() {
		return Set.copyOf(this.queues.keySet());
	}

	/**
	 * Return whether work of a team's queue is placed.
	 * @param team the team
	 * @return {@code false} while the queue is not owned or not yet activated
	 */
	public boolean isActive(String team) {
		TeamQueue queue = this.queues.get(team);
		return queue != null && queue.isActive();
	}

}
