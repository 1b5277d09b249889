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

	private static final Duration FOLLOW_UP_INTERVAL = Duration.ofSeconds(1);

	private final Placer placer;

	private final TeamScheduler scheduler;

	private final AttemptFollowUp followUp;

	private final JobJournal journal;

	private final Executor control;

	private final InstantSource clock;

	private final Map<String, TeamQueue> queues = new TreeMap<>();

	private final Map<JobId, Job> superseded = new HashMap<>();

	private Map<JobId, Workload> declared = Map.of();

	private Instant followUpNotBefore = Instant.MIN;

	private Set<String> satisfiedElsewhere = Set.of();

	private InForce inForce = InForce.NOTHING;

	public QueueManager(RackOwners rackOwners, RackDirectory racks, JobJournalFactory journals, Executor control,
			InstantSource clock) {
		this.journal = journals.create(this::reload);
		this.followUp = new AttemptFollowUp(rackOwners, racks, clock);
		this.placer = new Placer(rackOwners, racks, this.journal, control, clock, this.followUp::isListed);
		this.scheduler = new TeamScheduler(this.placer, racks, this.journal, clock);
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
		TeamQueue present = this.queues.get(team);
		if (present == null || present.epoch() < epoch) {
			disown(team);
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
	public void disown(String team) {
		TeamQueue removed = this.queues.remove(team);
		if (removed != null) {
			removed.jobs().values().forEach(this::drop);
		}
	}

	private void drop(Job job) {
		job.retire();
		this.journal.forget(job.id());
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
		this.journal.knownHosts(this.followUp.hostsVersion());
	}

	/**
	 * Take in a new version of what operators have in force.
	 * @param next the version
	 */
	public void update(InForce next) {
		this.inForce = next;
		this.declared = next.text()
			.workloads()
			.stream()
			.collect(Collectors.toMap(Workload::id, (workload) -> workload));
		this.queues.keySet().forEach(this::loadMissing);
		for (TeamQueue queue : this.queues.values()) {
			List.copyOf(queue.jobs().values()).forEach((job) -> adapt(queue, job));
		}
	}

	private void adapt(TeamQueue queue, Job job) {
		Workload workload = this.declared.get(job.id());
		Map<AttemptId, WorkerId> workers = workers(job);
		if (workload != null && this.inForce.state().permits(job.id())) {
			job.redeclare(workload).forEach((attempt) -> stop(job, attempt, workers));
			return;
		}
		if (job.isFinal()) {
			removeIfUndeclared(queue, job);
			return;
		}
		job.cancel().forEach((attempt) -> stop(job, attempt, workers));
		this.followUp.cancelled(job);
		if (!this.inForce.state().cancelled().contains(job.id().toString())) {
			this.journal.mark(job, () -> removeIfUndeclared(queue, job));
		}
	}

	private void stop(Job job, AttemptId attempt, Map<AttemptId, WorkerId> workers) {
		this.placer.stop(job, attempt, workers.get(attempt));
		this.followUp.repeatStop(attempt, workers.get(attempt), job.workload().team());
	}

	private void removeIfUndeclared(TeamQueue queue, Job job) {
		if (!this.declared.containsKey(job.id()) && job.isFinal() && job.workload().kind() != WorkloadKind.SERVICE) {
			queue.jobs().remove(job.id());
			drop(job);
		}
	}

	private static Map<AttemptId, WorkerId> workers(Job job) {
		Map<AttemptId, WorkerId> workers = new HashMap<>();
		for (TaskRecord task : job.tasks()) {
			workers.put(new AttemptId(job.id(), task.task(), task.attempt()), new WorkerId(task.worker()));
		}
		return workers;
	}

	private void loadMissing(String team) {
		TeamQueue queue = this.queues.get(team);
		for (Workload workload : this.declared.values()) {
			boolean wanted = workload.team().equals(team) && !queue.jobs().containsKey(workload.id());
			if (wanted && queue.loading().add(workload.id())) {
				load(team, queue, workload.id());
			}
		}
		queue.declaredBeforeLoading(this.declared.keySet());
	}

	private void load(String team, TeamQueue queue, JobId id) {
		this.journal.load(id).whenCompleteAsync((record, failure) -> {
			queue.loading().remove(id);
			Workload workload = this.declared.get(id);
			if (this.queues.get(team) != queue || workload == null) {
				return;
			}
			if (failure == null) {
				add(queue, workload, record);
			}
			else if (!workload.once() && queue.isNew(id)) {
				add(queue, workload, JobRecord.NONE);
			}
		}, this.control);
	}

	private void add(TeamQueue queue, Workload workload, JobRecord record) {
		Job job = new Job(workload, record, queue.epoch(), this.clock.instant());
		Optional.ofNullable(this.superseded.remove(job.id())).ifPresent(job::succeed);
		queue.jobs().put(job.id(), job);
		adapt(queue, job);
	}

	private void reload(JobId id) {
		for (Map.Entry<String, TeamQueue> entry : this.queues.entrySet()) {
			Job removed = entry.getValue().jobs().remove(id);
			if (removed != null) {
				drop(removed);
				this.superseded.put(id, removed);
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
		satisfied.addAll(satisfied());
		followUp();
		this.scheduler.round(this.queues, this.inForce, satisfied);
		this.journal.flush();
	}

	private void followUp() {
		Instant now = this.clock.instant();
		if (now.isBefore(this.followUpNotBefore)) {
			return;
		}
		this.followUpNotBefore = now.plus(FOLLOW_UP_INTERVAL);
		this.queues.keySet().forEach(this::loadMissing);
		List<Job> jobs = this.queues.values().stream().flatMap((queue) -> queue.jobs().values().stream()).toList();
		this.followUp.round(jobs, (job, attempt) -> {
			if (job.gone(attempt)) {
				this.journal.mark(job, () -> {
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
	public void take(AttemptEvent event, String team, Consumer<AttemptEvent> acknowledge) {
		TeamQueue queue = this.queues.get(team);
		if (queue == null || queue.loading().contains(event.attempt().job())) {
			return;
		}
		this.followUp.heard(event.attempt(), isEnd(event.kind()));
		Job job = queue.jobs().get(event.attempt().job());
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
		return this.inForce.head().version() > 0 && !this.declared.containsKey(id);
	}

	private static boolean isEnd(AttemptEventKind kind) {
		return kind != AttemptEventKind.RUNNING && kind != AttemptEventKind.LAPSED;
	}

	private void stopUnwanted(AttemptEvent event, String team) {
		if (!isEnd(event.kind())) {
			this.followUp.stop(event.attempt(), event.worker(), team);
		}
	}

	private void apply(Job job, AttemptEvent event, Runnable acknowledge) {
		AttemptId attempt = event.attempt();
		switch (event.kind()) {
			case RUNNING -> {
				this.followUp.running(job, event);
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
		job.noteFinish(this.clock.instant());
		if (changed || this.journal.isPending(job.id())) {
			this.journal.mark(job, acknowledge);
		}
		else {
			acknowledge.run();
		}
	}

	/**
	 * What operators read of the owned jobs.
	 * @return the status of each job
	 */
	public List<JobStatus> status() {
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
	public interface JobJournalFactory {

		/**
		 * Create the journal.
		 * @param onConflict called with a job whose row another owner has changed
		 * @return the journal
		 */
		JobJournal create(Consumer<JobId> onConflict);

	}

}
