package org.monsoonrelay.model.job;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Progress of one declared workload. Invariants: a task has at most one open attempt;
 * attempt numbers only grow; a message about any attempt but the last changes nothing; a
 * final state is never left; a task that must run once gets no new attempt while an
 * earlier one may still run. Not thread-safe: confined to the control thread of the
 * queue's owner.
 */
public final class Job {

	private static final int MAXIMUM_FAILURES = 5;

	private static final int EPOCH_SHIFT = 20;

	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 6;

	private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);

	private Workload workload;

	private final List<Task> tasks = new ArrayList<>();

	private final Instant readySince;

	private final long queueEpoch;

	private Instant finishedAt;

	public Job(Workload workload, JobRecord recorded, long queueEpoch, Instant now) {
		this.queueEpoch = queueEpoch;
		this.workload = workload;
		this.readySince = now;
		IntStream.range(0, workload.tasks()).forEach((index) -> this.tasks.add(new Task()));
		recorded.tasks().forEach(this::restore);
		this.finishedAt = recorded.finishedAt();
	}

	private void restore(TaskRecord recorded) {
		while (this.tasks.size() <= recorded.task()) {
			this.tasks.add(new Task());
		}
		Task task = this.tasks.get(recorded.task());
		task.attempt = recorded.attempt();
		task.state = recorded.state();
		task.worker = recorded.worker();
		task.incarnation = recorded.incarnation();
		task.failures = recorded.failures();
		if (task.state == TaskState.RESERVED) {
			task.state = TaskState.WAITING;
		}
		if (task.state.mayRun()) {
			task.state = this.workload.once() ? TaskState.IN_DOUBT : TaskState.WAITING;
		}
	}

	/**
	 * Indexes of the tasks that may be given a new attempt now.
	 * @param now the current time
	 * @return the indexes, ascending
	 */
	public List<Integer> placeable(Instant now) {
		return IntStream.range(0, this.workload.tasks())
			.filter((index) -> this.tasks.get(index).isPlaceable(now))
			.boxed()
			.toList();
	}

	/**
	 * Open a new attempt at a waiting task.
	 * @param index the task
	 * @return the attempt
	 * @throws IllegalStateException if the task has an open attempt or is final
	 */
	public AttemptId open(int index) {
		Task task = this.tasks.get(index);
		if (task.state != TaskState.WAITING) {
			throw new IllegalStateException("task " + index + " of " + id() + " is " + task.state);
		}
		task.attempt = Math.max(task.attempt + 1, this.queueEpoch << EPOCH_SHIFT);
		task.state = TaskState.RESERVED;
		task.worker = "";
		task.incarnation = "";
		return new AttemptId(id(), index, task.attempt);
	}

	/**
	 * Note where an attempt holds its reservation.
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param incarnation the worker's incarnation
	 * @return {@code true} if the attempt is still the open one
	 */
	public boolean reservedOn(AttemptId attempt, WorkerId worker, String incarnation) {
		Task task = this.tasks.get(attempt.task());
		if (task.attempt != attempt.attempt() || task.state != TaskState.RESERVED) {
			return false;
		}
		task.worker = worker.value();
		task.incarnation = incarnation;
		return true;
	}

	/**
	 * Let an attempt be started. From here on it may run.
	 * @param attempt the attempt
	 * @return {@code true} if it is the open one and was reserved
	 */
	public boolean starting(AttemptId attempt) {
		return move(attempt, TaskState.RESERVED, TaskState.STARTING);
	}

	/**
	 * A worker runs the attempt.
	 * @param attempt the attempt
	 * @param worker the worker that says so
	 */
	public void running(AttemptId attempt, WorkerId worker) {
		Task task = taskOf(attempt);
		if (task.attempt < attempt.attempt() && !task.state.isFinal()) {
			task.attempt = attempt.attempt();
			task.state = TaskState.RUNNING;
			task.worker = worker.value();
		}
		else if (task.attempt == attempt.attempt() && !task.state.isFinal()) {
			task.state = TaskState.RUNNING;
			task.worker = worker.value();
		}
	}

	/**
	 * The attempt ended well. Idempotent.
	 * @param attempt the attempt
	 * @return {@code true} if the task's state changed
	 */
	public boolean finished(AttemptId attempt) {
		Task task = taskOf(attempt);
		if (task.attempt > attempt.attempt() || task.state.isFinal()) {
			return false;
		}
		task.attempt = attempt.attempt();
		task.state = (this.workload.kind() != WorkloadKind.SERVICE) ? TaskState.FINISHED : TaskState.WAITING;
		return true;
	}

	/**
	 * The attempt ended badly, for certain.
	 * @param attempt the attempt
	 * @param now the current time, from which the backoff counts
	 * @return {@code true} if the task's state changed
	 */
	public boolean failed(AttemptId attempt, Instant now) {
		Task task = taskOf(attempt);
		if (task.attempt != attempt.attempt() || !(task.state.mayRun() || task.state == TaskState.RESERVED)) {
			return false;
		}
		task.failures++;
		if (task.failures >= MAXIMUM_FAILURES && this.workload.kind() != WorkloadKind.SERVICE) {
			task.state = TaskState.FAILED;
			return true;
		}
		task.state = TaskState.WAITING;
		int doublings = Math.min(task.failures - 1, MAXIMUM_BACKOFF_DOUBLINGS);
		task.notBefore = now.plus(FIRST_BACKOFF.multipliedBy(1L << doublings));
		return true;
	}

	/**
	 * The attempt does not run and never will: it was not started, or its end is
	 * confirmed by the worker, by the worker's new incarnation or by the host list.
	 * @param attempt the attempt
	 * @return {@code true} if the task waits again
	 */
	public boolean gone(AttemptId attempt) {
		Task task = taskOf(attempt);
		if (task.attempt != attempt.attempt() || task.state.isFinal() || task.state == TaskState.WAITING) {
			return false;
		}
		task.state = TaskState.WAITING;
		return true;
	}

	/**
	 * The lease of the attempt's worker lapsed, so nothing is known of it. A repeatable
	 * task waits to be placed again; a task that must run once stays in doubt.
	 * @param attempt the attempt
	 * @return {@code true} if the task waits again
	 */
	public boolean lapsed(AttemptId attempt) {
		Task task = taskOf(attempt);
		if (task.attempt != attempt.attempt() || !task.state.mayRun()) {
			return false;
		}
		task.state = this.workload.once() ? TaskState.IN_DOUBT : TaskState.WAITING;
		return task.state == TaskState.WAITING;
	}

	/**
	 * Cancel all tasks that have not ended.
	 * @return the attempts that may run and have to be stopped
	 */
	public List<AttemptId> cancel() {
		List<AttemptId> open = openAttempts();
		this.tasks.stream().filter((task) -> !task.state.isFinal()).forEach((task) -> task.state = TaskState.CANCELLED);
		return open;
	}

	/**
	 * Take in a changed declaration of the same workload. A service may grow or shrink.
	 * @param declared the declaration in force
	 * @return the attempts that are no longer declared and have to be stopped
	 */
	public List<AttemptId> redeclare(Workload declared) {
		this.workload = declared;
		while (this.tasks.size() < declared.tasks()) {
			this.tasks.add(new Task());
		}
		List<AttemptId> surplus = new ArrayList<>();
		for (int index = declared.tasks(); index < this.tasks.size(); index++) {
			Task task = this.tasks.get(index);
			if (task.state.mayRun() || task.state == TaskState.RESERVED) {
				surplus.add(new AttemptId(id(), index, task.attempt));
				task.state = TaskState.WAITING;
			}
		}
		return surplus;
	}

	/**
	 * Attempts that hold a reservation or may run.
	 * @return the attempts
	 */
	public List<AttemptId> openAttempts() {
		List<AttemptId> open = new ArrayList<>();
		for (int index = 0; index < this.tasks.size(); index++) {
			Task task = this.tasks.get(index);
			if (task.state.mayRun() || task.state == TaskState.RESERVED) {
				open.add(new AttemptId(id(), index, task.attempt));
			}
		}
		return open;
	}

	/**
	 * Number of tasks in each state.
	 * @return the counts; states without tasks are missing
	 */
	public Map<TaskState, Integer> counts() {
		Map<TaskState, Integer> counts = new EnumMap<>(TaskState.class);
		this.tasks.stream().limit(this.workload.tasks()).forEach((task) -> counts.merge(task.state, 1, Integer::sum));
		return counts;
	}

	/**
	 * Tell whether nothing more happens to the job.
	 * @return {@code true} if all tasks are final
	 */
	public boolean isFinal() {
		return this.tasks.stream().limit(this.workload.tasks()).allMatch((task) -> task.state.isFinal());
	}

	/**
	 * Tell whether work that depends on this job may start.
	 * @return {@code true} if all tasks finished, or all replicas of a service run
	 */
	public boolean satisfiesDependents() {
		TaskState wanted = (this.workload.kind() != WorkloadKind.SERVICE) ? TaskState.FINISHED : TaskState.RUNNING;
		return this.tasks.stream().limit(this.workload.tasks()).allMatch((task) -> task.state == wanted);
	}

	/**
	 * Note when the job finished, unless it is noted already or has not finished.
	 * @param now the current time
	 */
	public void noteFinish(Instant now) {
		if (this.finishedAt == null && this.workload.kind() != WorkloadKind.SERVICE && satisfiesDependents()) {
			this.finishedAt = now;
		}
	}

	/**
	 * When the queue's owner learnt that all tasks had finished.
	 * @return the instant, empty before
	 */
	public Optional<Instant> finishedAt() {
		return Optional.ofNullable(this.finishedAt);
	}

	/**
	 * Durable form of the progress.
	 * @param writeId identity of the write
	 * @return the record
	 */
	public JobRecord toRecord(String writeId) {
		List<TaskRecord> changed = IntStream.range(0, this.tasks.size())
			.filter((index) -> this.tasks.get(index).attempt > 0 || this.tasks.get(index).state != TaskState.WAITING)
			.mapToObj((index) -> this.tasks.get(index).toRecord(index))
			.toList();
		return new JobRecord(this.queueEpoch, writeId, changed, this.finishedAt);
	}

	private boolean move(AttemptId attempt, TaskState from, TaskState to) {
		Task task = taskOf(attempt);
		if (task.attempt != attempt.attempt() || task.state != from) {
			return false;
		}
		task.state = to;
		return true;
	}

	private Task taskOf(AttemptId attempt) {
		while (this.tasks.size() <= attempt.task()) {
			this.tasks.add(new Task());
		}
		return this.tasks.get(attempt.task());
	}

	public JobId id() {
		return this.workload.id();
	}

	public Workload workload() {
		return this.workload;
	}

	public Instant readySince() {
		return this.readySince;
	}

	public TaskState state(int index) {
		return this.tasks.get(index).state;
	}

	/**
	 * The tasks in their durable form, for reports.
	 * @return all declared tasks in order
	 */
	public List<TaskRecord> tasks() {
		return IntStream.range(0, this.workload.tasks())
			.mapToObj((index) -> this.tasks.get(index).toRecord(index))
			.toList();
	}

	private static final class Task {

		private TaskState state = TaskState.WAITING;

		private long attempt;

		private int failures;

		private String worker = "";

		private String incarnation = "";

		private Instant notBefore = Instant.MIN;

		boolean isPlaceable(Instant now) {
			return this.state == TaskState.WAITING && !now.isBefore(this.notBefore);
		}

		TaskRecord toRecord(int index) {
			return new TaskRecord(index, this.attempt, this.state, this.worker, this.incarnation, this.failures);
		}

	}

}
