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
 * Asks after attempts of which nothing certain is known, and repeats stops until the end
 * is known, because a message or a rack's owner may be lost. Invariants: an attempt in
 * doubt is given up only when a host list at least as new as the one known at its record
 * lacks its worker; no clock but this process's own is read. Not thread-safe: confined to
 * the control thread.
 */
final class AttemptReconciler {

	private static final Duration STOP_RETRY_INTERVAL = Duration.ofSeconds(5);

	private static final int MAXIMUM_MESSAGES_PER_ROUND = 1000;

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
	 * Tell whether a worker is in the host list, so that its leaving the list can be
	 * seen.
	 * @param worker the worker
	 * @return {@code true} also if no list has been read yet
	 */
	boolean isListed(WorkerId worker) {
		return this.hosts.version() == 0 || this.rackByWorker.containsKey(worker.value());
	}

	long hostsVersion() {
		return (this.hosts.version() > 0) ? this.hosts.version() : Long.MAX_VALUE;
	}

	/**
	 * Send a stop, and again until the attempt has ended.
	 * @param attempt the attempt
	 * @param worker the worker it was placed on, empty if not known
	 * @param team the team it counts against
	 */
	void stop(AttemptId attempt, WorkerId worker, String team) {
		scheduleStopRetry(attempt, worker, team);
		this.rackOwners.stop(rackOf(worker.value()), attempt, worker, team);
	}

	/**
	 * Repeat a stop that has been sent until the attempt has ended.
	 * @param attempt the attempt
	 * @param worker the worker it was placed on, empty if not known
	 * @param team the team it counts against
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

	/**
	 * A rack's owner has told of an attempt.
	 * @param attempt the attempt
	 * @param ended whether it has ended
	 */
	void recordReport(AttemptId attempt, boolean ended) {
		this.unconfirmed.remove(attempt);
		if (ended) {
			this.pendingStops.remove(attempt);
			this.replacedAttempts.remove(attempt);
		}
	}

	/**
	 * A worker runs an attempt. What it replaces is stopped now, and so is an attempt
	 * that nobody waits for any more.
	 * @param job the job
	 * @param event what was told
	 */
	void handleRunning(Job job, AttemptEvent event) {
		AttemptId attempt = event.attempt();
		job.running(attempt, event.worker());
		if (isCurrent(job, attempt)) {
			stopReplaced(job, (old) -> old.task() == attempt.task() && old.attempt() < attempt.attempt());
		}
		else if (!this.replacedAttempts.containsKey(attempt)) {
			stop(attempt, event.worker(), job.workload().team());
		}
	}

	/**
	 * A job was cancelled: what runs on until it is replaced is stopped, too.
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
	 * Ask after what is in doubt. Meant to be called about once a second.
	 * @param jobs the owned jobs
	 * @param onGone told of attempts whose worker is gone for certain
	 */
	void reconcile(Collection<Job> jobs, BiConsumer<Job, AttemptId> onGone) {
		Instant now = this.clock.instant();
		markUnconfirmedOnChangedRacks(jobs);
		int sent = 0;
		for (Job job : jobs) {
			if (sent < MAXIMUM_MESSAGES_PER_ROUND && job.counts().keySet().stream().anyMatch(TaskState::mayRun)) {
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
				if (task.state().mayRun() && changedRacks.contains(rackOf(task.worker()))) {
					this.unconfirmed.add(new AttemptId(job.id(), task.task(), task.attempt()));
				}
			}
		}
	}

	/**
	 * Let the replicas of a service on leaving workers be placed elsewhere. They run on
	 * until the new ones run.
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
			if (isOnLeavingWorker && job.lapsed(attempt)) {
				this.replacedAttempts.put(attempt, new WorkerId(task.worker()));
			}
		}
	}

	private int reconcileJob(Job job, BiConsumer<Job, AttemptId> onGone) {
		replaceOnLeavingWorkers(job);
		int sent = 0;
		for (TaskRecord task : job.tasks()) {
			AttemptId attempt = new AttemptId(job.id(), task.task(), task.attempt());
			if (task.state().mayRun() && isWorkerRemoved(job, task)) {
				onGone.accept(job, attempt);
			}
			else if (task.state() == TaskState.IN_DOUBT
					|| (task.state().mayRun() && this.unconfirmed.contains(attempt))) {
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
	 * Tell whether the worker of a task that may run is gone: it was in an earlier list
	 * read here, or the list is at least as new as the one known at the job's record.
	 * @param job the job
	 * @param task the task
	 * @return {@code true} if its worker is gone for certain
	 */
	private boolean isWorkerRemoved(Job job, TaskRecord task) {
		if (this.rackByWorker.containsKey(task.worker())) {
			return false;
		}
		boolean removedSinceRecord = task.state() == TaskState.IN_DOUBT && this.hosts.version() > 0
				&& this.hosts.version() >= job.hostsVersion();
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

	private record PendingStop(WorkerId worker, String team, Instant notBefore) {

	}

}
