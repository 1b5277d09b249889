package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Reconciles the recorded state of attempts with the state on their workers, because
 * messages can be lost and rack owners can fail. Asks rack owners to resolve attempts
 * whose state is unknown, and retries stop requests until the attempt has ended.
 * Invariants: an attempt in doubt is given up only if its worker is missing from a host
 * list that is at least as new as the one known when the job was last recorded; only the
 * clock of this process is read. Not thread-safe: confined to the control thread.
 */
final class AttemptReconciler {

	private static final Duration STOP_RETRY_INTERVAL = Duration.ofSeconds(5);

	private static final int MAXIMUM_MESSAGES_PER_ROUND = 1000;

	private static final long UNKNOWN_VERSION = Long.MAX_VALUE;

	private final RackOwners rackOwners;

	private final RackDirectory racks;

	private final InstantSource clock;

	private final Map<String, Long> lastRackEpochs = new HashMap<>();

	private final Set<AttemptId> unconfirmed = new LinkedHashSet<>();

	private final Map<AttemptId, PendingStop> pendingStops = new LinkedHashMap<>();

	private final Map<AttemptId, WorkerId> replacedAttempts = new LinkedHashMap<>();

	private HostList hosts = new HostList(0, List.of());

	private Map<String, String> rackByWorker = Map.of();

	private Set<String> leavingWorkers = Set.of();

	private final Set<String> everListedWorkers = new HashSet<>();

	AttemptReconciler(RackOwners rackOwners, RackDirectory racks, InstantSource clock) {
		this.rackOwners = rackOwners;
		this.racks = racks;
		this.clock = clock;
	}

	/**
	 * Apply a host list unless it is older than the present one.
	 * @param list the host list
	 */
	void update(HostList list) {
		if (list.version() >= this.hosts.version()) {
			this.hosts = list;
			this.rackByWorker = list.hosts().stream().collect(Collectors.toMap(Host::name, Host::rack, (a, b) -> b));
			this.everListedWorkers.addAll(this.rackByWorker.keySet());
			this.leavingWorkers = list.hosts()
				.stream()
				.filter((host) -> host.state() == HostState.LEAVING)
				.map(Host::name)
				.collect(Collectors.toSet());
		}
	}

	/**
	 * Return whether a worker is in the host list, so that its removal can be detected
	 * later.
	 * @param worker the worker
	 * @return {@code true} if it is listed, or if no host list has been read yet
	 */
	boolean isListed(WorkerId worker) {
		return this.hosts.version() == 0 || this.rackByWorker.containsKey(worker.value());
	}

	/**
	 * Return the version of the latest host list.
	 * @return the version, {@link #UNKNOWN_VERSION} if no host list has been read yet
	 */
	long hostsVersion() {
		return (this.hosts.version() > 0) ? this.hosts.version() : UNKNOWN_VERSION;
	}

	/**
	 * Send a stop request and retry it until the attempt has ended.
	 * @param attempt the attempt
	 * @param worker the worker it was placed on, empty if unknown
	 * @param team the team whose quota it uses
	 */
	void stop(AttemptId attempt, WorkerId worker, String team) {
		scheduleStopRetry(attempt, worker, team);
		this.rackOwners.stop(rackOf(worker.value()), attempt, worker, team);
	}

	/**
	 * Schedule retries of a stop request that has been sent already. It is retried until
	 * the attempt has ended.
	 * @param attempt the attempt
	 * @param worker the worker it was placed on, empty if unknown
	 * @param team the team whose quota it uses
	 */
	void scheduleStopRetry(AttemptId attempt, WorkerId worker, String team) {
		if (!worker.value().isEmpty()) {
			this.pendingStops.put(attempt,
					new PendingStop(worker, team, this.clock.instant().plus(STOP_RETRY_INTERVAL)));
		}
	}

	private String rackOf(String worker) {
		return this.rackByWorker.getOrDefault(worker, "");
	}

	boolean isStopRequested(AttemptId attempt) {
		return this.pendingStops.containsKey(attempt);
	}

	/**
	 * Record that a rack owner has reported the state of an attempt.
	 * @param attempt the attempt
	 * @param ended whether the attempt has ended
	 */
	void recordReport(AttemptId attempt, boolean ended) {
		this.unconfirmed.remove(attempt);
		if (ended) {
			this.pendingStops.remove(attempt);
			this.replacedAttempts.remove(attempt);
		}
	}

	/**
	 * Handle the report that a worker runs an attempt. Stops the earlier attempts that it
	 * replaces, or the attempt itself if the job no longer needs it.
	 * @param job the job
	 * @param event the reported event
	 */
	void handleRunning(Job job, AttemptEvent event) {
		AttemptId attempt = event.attempt();
		job.markRunning(attempt, event.worker());
		if (isCurrent(job, attempt)) {
			stopReplaced(job, (old) -> old.task() == attempt.task() && old.attempt() < attempt.attempt());
		}
		else if (!this.replacedAttempts.containsKey(attempt)) {
			stop(attempt, event.worker(), job.workload().team());
		}
	}

	/**
	 * Handle the cancellation of a job: stop its attempts that were kept running until
	 * their replacements run.
	 * @param job the job
	 */
	void handleCancelled(Job job) {
		stopReplaced(job, (old) -> true);
	}

	private void stopReplaced(Job job, Predicate<AttemptId> condition) {
		List<AttemptId> due = this.replacedAttempts.keySet()
			.stream()
			.filter((old) -> old.job().equals(job.id()) && condition.test(old))
			.toList();
		due.forEach((old) -> stop(old, this.replacedAttempts.remove(old), job.workload().team()));
	}

	private static boolean isCurrent(Job job, AttemptId attempt) {
		return job.tasks()
			.stream()
			.anyMatch((task) -> task.task() == attempt.task() && task.attempt() == attempt.attempt()
					&& task.state() == TaskState.RUNNING);
	}

	/**
	 * Run one round of reconciliation: resolve attempts in unknown state, replace
	 * services on leaving workers and retry stop requests. Intended to be called about
	 * once a second.
	 * @param jobs the jobs of the owned queues
	 * @param onGone called with each attempt whose worker has been removed from the cell
	 */
	void reconcile(Collection<Job> jobs, BiConsumer<Job, AttemptId> onGone) {
		Instant now = this.clock.instant();
		markUnconfirmedOnChangedRacks(jobs);
		int sent = 0;
		for (Job job : jobs) {
			if (sent < MAXIMUM_MESSAGES_PER_ROUND
					&& job.stateCounts().keySet().stream().anyMatch(TaskState::mayBeRunning)) {
				sent += reconcileJob(job, onGone);
			}
		}
		retryStops(now);
	}

	private void markUnconfirmedOnChangedRacks(Collection<Job> jobs) {
		Set<String> changedRacks = this.racks.epochs()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue()
				.equals(this.lastRackEpochs.getOrDefault(entry.getKey(), entry.getValue())))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		this.lastRackEpochs.putAll(this.racks.epochs());
		if (changedRacks.isEmpty()) {
			return;
		}
		for (Job job : jobs) {
			for (TaskRecord task : job.tasks()) {
				if (task.state().mayBeRunning() && changedRacks.contains(rackOf(task.worker()))) {
					this.unconfirmed.add(new AttemptId(job.id(), task.task(), task.attempt()));
				}
			}
		}
	}

	/**
	 * Make the replicas of a service on leaving workers eligible for placement elsewhere.
	 * The present attempts keep running until their replacements run.
	 * @param job the job
	 */
	private void replaceOnLeavingWorkers(Job job) {
		if (this.leavingWorkers.isEmpty() || job.workload().kind() != WorkloadKind.SERVICE) {
			return;
		}
		for (TaskRecord task : job.tasks()) {
			AttemptId attempt = new AttemptId(job.id(), task.task(), task.attempt());
			boolean isOnLeavingWorker = task.state() == TaskState.RUNNING
					&& this.leavingWorkers.contains(task.worker());
			if (isOnLeavingWorker && job.markLeaseExpired(attempt)) {
				this.replacedAttempts.put(attempt, new WorkerId(task.worker()));
			}
		}
	}

	private int reconcileJob(Job job, BiConsumer<Job, AttemptId> onGone) {
		replaceOnLeavingWorkers(job);
		int sent = 0;
		for (TaskRecord task : job.tasks()) {
			AttemptId attempt = new AttemptId(job.id(), task.task(), task.attempt());
			if (task.state().mayBeRunning() && isWorkerRemoved(job, task)) {
				onGone.accept(job, attempt);
			}
			else if (task.state() == TaskState.IN_DOUBT
					|| (task.state().mayBeRunning() && this.unconfirmed.contains(attempt))) {
				this.rackOwners.resolve(rackOf(task.worker()), attempt, new WorkerId(task.worker()), task.incarnation(),
						job.workload().team());
				sent++;
			}
			else {
				this.unconfirmed.remove(attempt);
			}
		}
		return sent;
	}

	/**
	 * Return whether the worker of a task that may run has been removed from the cell. A
	 * worker missing from the host list counts as removed if an earlier list read by this
	 * process held it, or if the task is in doubt. The list must be at least as new as
	 * the one known when the job was recorded. Otherwise it may be too old to show that
	 * the worker has been added, or has come back.
	 * @param job the job
	 * @param task the task
	 * @return {@code true} if the worker has certainly been removed
	 */
	private boolean isWorkerRemoved(Job job, TaskRecord task) {
		boolean isRecordedVersionKnown = job.hostsVersion() != UNKNOWN_VERSION;
		boolean isOlderThanRecord = isRecordedVersionKnown && this.hosts.version() < job.hostsVersion();
		if (isOlderThanRecord || this.rackByWorker.containsKey(task.worker())) {
			return false;
		}
		boolean removedSinceRecord = task.state() == TaskState.IN_DOUBT && this.hosts.version() > 0
				&& isRecordedVersionKnown;
		return removedSinceRecord || this.everListedWorkers.contains(task.worker());
	}

	private void retryStops(Instant now) {
		Map<AttemptId, PendingStop> due = new LinkedHashMap<>();
		for (Iterator<Map.Entry<AttemptId, PendingStop>> entries = this.pendingStops.entrySet().iterator(); entries
			.hasNext();) {
			Map.Entry<AttemptId, PendingStop> entry = entries.next();
			if (due.size() >= MAXIMUM_MESSAGES_PER_ROUND || now.isBefore(entry.getValue().notBefore())) {
				break;
			}
			due.put(entry.getKey(), entry.getValue());
			entries.remove();
		}
		due.forEach((attempt, stop) -> {
			if (isListed(stop.worker())) {
				stop(attempt, stop.worker(), stop.team());
			}
		});
	}

	/**
	 * A stop request to retry unless the attempt has ended by then.
	 *
	 * @param worker the worker the attempt was placed on
	 * @param team the team whose quota it uses
	 * @param notBefore time of the next retry
	 */
	private record PendingStop(WorkerId worker, String team, Instant notBefore) {

	}

}
