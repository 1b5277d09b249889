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
final class AttemptFollowUp {

	private static final Duration STOP_INTERVAL = Duration.ofSeconds(5);

	private static final int MAXIMUM_MESSAGES = 1000;

	private final RackOwners rackOwners;

	private final RackDirectory racks;

	private final InstantSource clock;

	private final Map<String, Long> epochs = new HashMap<>();

	private final Set<AttemptId> unconfirmed = new LinkedHashSet<>();

	private final Map<AttemptId, Stop> stops = new LinkedHashMap<>();

	private final Map<AttemptId, WorkerId> replaced = new LinkedHashMap<>();

	private HostList hosts = new HostList(0, List.of());

	private Map<String, String> rackByWorker = Map.of();

	private Set<String> leaving = Set.of();

	private final Set<String> everListed = new HashSet<>();

	AttemptFollowUp(RackOwners rackOwners, RackDirectory racks, InstantSource clock) {
		this.rackOwners = rackOwners;
		this.racks = racks;
		this.clock = clock;
	}

	void update(HostList list) {
		if (list.version() >= this.hosts.version()) {
			this.hosts = list;
			this.rackByWorker = list.hosts().stream().collect(Collectors.toMap(Host::name, Host::rack, (a, b) -> b));
			this.everListed.addAll(this.rackByWorker.keySet());
			this.leaving = list.hosts()
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
		repeatStop(attempt, worker, team);
		this.rackOwners.stop(rackOf(worker.value()), attempt, worker, team);
	}

	/**
	 * Repeat a stop that has been sent until the attempt has ended.
	 * @param attempt the attempt
	 * @param worker the worker it was placed on, empty if not known
	 * @param team the team it counts against
	 */
	void repeatStop(AttemptId attempt, WorkerId worker, String team) {
		if (!worker.value().isEmpty()) {
			this.stops.put(attempt, new Stop(worker, team, this.clock.instant().plus(STOP_INTERVAL)));
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
	void heard(AttemptId attempt, boolean ended) {
		this.unconfirmed.remove(attempt);
		if (ended) {
			this.stops.remove(attempt);
			this.replaced.remove(attempt);
		}
	}

	/**
	 * A worker runs an attempt. What it replaces is stopped now, and so is an attempt
	 * that nobody waits for any more.
	 * @param job the job
	 * @param event what was told
	 */
	void running(Job job, AttemptEvent event) {
		AttemptId attempt = event.attempt();
		job.running(attempt, event.worker());
		if (isCurrent(job, attempt)) {
			stopReplaced(job, (old) -> old.task() == attempt.task() && old.attempt() < attempt.attempt());
		}
		else if (!this.replaced.containsKey(attempt)) {
			stop(attempt, event.worker(), job.workload().team());
		}
	}

	/**
	 * A job was cancelled: what runs on until it is replaced is stopped, too.
	 * @param job the job
	 */
	void cancelled(Job job) {
		stopReplaced(job, (old) -> true);
	}

	private void stopReplaced(Job job, Predicate<AttemptId> condition) {
		List<AttemptId> due = this.replaced.keySet()
			.stream()
			.filter((old) -> old.job().equals(job.id()) && condition.test(old))
			.toList();
		due.forEach((old) -> stop(old, this.replaced.remove(old), job.workload().team()));
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
	 * @param gone told of attempts whose worker is gone for certain
	 */
	void round(Collection<Job> jobs, BiConsumer<Job, AttemptId> gone) {
		Instant now = this.clock.instant();
		doubtChangedRacks(jobs);
		int asked = 0;
		for (Job job : jobs) {
			if (asked < MAXIMUM_MESSAGES && job.counts().keySet().stream().anyMatch(TaskState::mayRun)) {
				asked += followUp(job, gone);
			}
		}
		repeatStops(now);
	}

	private void doubtChangedRacks(Collection<Job> jobs) {
		Set<String> changed = this.racks.epochs()
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().equals(this.epochs.getOrDefault(entry.getKey(), entry.getValue())))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		this.epochs.putAll(this.racks.epochs());
		if (changed.isEmpty()) {
			return;
		}
		for (Job job : jobs) {
			for (TaskRecord task : job.tasks()) {
				if (task.state().mayRun() && changed.contains(rackOf(task.worker()))) {
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
	private void replace(Job job) {
		if (this.leaving.isEmpty() || job.workload().kind() != WorkloadKind.SERVICE) {
			return;
		}
		for (TaskRecord task : job.tasks()) {
			AttemptId attempt = new AttemptId(job.id(), task.task(), task.attempt());
			boolean leaves = task.state() == TaskState.RUNNING && this.leaving.contains(task.worker());
			if (leaves && job.lapsed(attempt)) {
				this.replaced.put(attempt, new WorkerId(task.worker()));
			}
		}
	}

	private int followUp(Job job, BiConsumer<Job, AttemptId> gone) {
		replace(job);
		int asked = 0;
		for (TaskRecord task : job.tasks()) {
			AttemptId attempt = new AttemptId(job.id(), task.task(), task.attempt());
			if (task.state().mayRun() && hasLeft(job, task)) {
				gone.accept(job, attempt);
			}
			else if (task.state() == TaskState.IN_DOUBT
					|| (task.state().mayRun() && this.unconfirmed.contains(attempt))) {
				this.rackOwners.resolve(rackOf(task.worker()), attempt, new WorkerId(task.worker()), task.incarnation(),
						job.workload().team());
				asked++;
			}
			else {
				this.unconfirmed.remove(attempt);
			}
		}
		return asked;
	}

	/**
	 * Tell whether the worker of a task that may run is gone: it was in an earlier list
	 * read here, or the list is at least as new as the one known at the job's record.
	 * @param job the job
	 * @param task the task
	 * @return {@code true} if its worker is gone for certain
	 */
	private boolean hasLeft(Job job, TaskRecord task) {
		if (this.rackByWorker.containsKey(task.worker())) {
			return false;
		}
		boolean recorded = task.state() == TaskState.IN_DOUBT && this.hosts.version() > 0
				&& this.hosts.version() >= job.hostsVersion();
		return recorded || this.everListed.contains(task.worker());
	}

	private void repeatStops(Instant now) {
		Map<AttemptId, Stop> due = new LinkedHashMap<>();
		for (Iterator<Map.Entry<AttemptId, Stop>> all = this.stops.entrySet().iterator(); all.hasNext();) {
			Map.Entry<AttemptId, Stop> entry = all.next();
			if (due.size() >= MAXIMUM_MESSAGES || now.isBefore(entry.getValue().notBefore())) {
				break;
			}
			due.put(entry.getKey(), entry.getValue());
			all.remove();
		}
		due.forEach((attempt, stop) -> {
			if (isListed(stop.worker())) {
				stop(attempt, stop.worker(), stop.team());
			}
		});
	}

	private record Stop(WorkerId worker, String team, Instant notBefore) {

	}

}
