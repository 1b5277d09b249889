package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Progress of one declared workload. Invariants: a task has at most one open attempt;
 * attempt numbers only increase; messages about superseded attempts are ignored; a final
 * state is never left, except by the tasks of a stopped service when a later
 * configuration declares the service; a run-once task gets no new attempt while an
 * earlier one may still run. Not thread-safe: confined to the control thread of the
 * queue's owner.
 */
public final class Job {

	private Workload workload;

	private final TaskList tasks;

	private final Instant readySince;

	private final long queueEpoch;

	private final long hostsVersion;

	private Instant finishedAt;

	private long minimumAttempt;

	private boolean retired;

	public Job(Workload workload, JobRecord recorded, long queueEpoch, Instant now) {
		this.queueEpoch = queueEpoch;
		this.hostsVersion = recorded.hostsVersion();
		this.minimumAttempt = AttemptId.firstNumber(queueEpoch);
		this.workload = workload;
		this.readySince = now;
		this.tasks = new TaskList(workload.tasks());
		recorded.tasks().forEach(this::restore);
		this.finishedAt = recorded.finishedAt();
	}

	private void restore(TaskRecord recorded) {
		boolean mayRun = recorded.state().mayBeRunning();
		TaskState restored = recorded.state();
		if (restored == TaskState.RESERVED || mayRun) {
			restored = (mayRun && this.workload.once()) ? TaskState.IN_DOUBT : TaskState.WAITING;
		}
		if (restored == TaskState.CANCELLED && isService()) {
			restored = TaskState.WAITING;
		}
		this.tasks.restore(recorded, restored, this.workload.once() && !mayRun);
	}

	private boolean isService() {
		return this.workload.kind() == WorkloadKind.SERVICE;
	}

	/**
	 * The first tasks for which a new attempt may be opened now.
	 * @param now the current time
	 * @param limit maximum number of tasks to return
	 * @return the indexes of the tasks, ascending
	 */
	public List<Integer> placeableTasks(Instant now, int limit) {
		return this.tasks.dueTasks(now, limit);
	}

	/**
	 * Open a new attempt for a waiting task.
	 * @param index index of the task
	 * @return the attempt
	 * @throws IllegalStateException if the task has an open attempt or is final
	 */
	public AttemptId openAttempt(int index) {
		Task task = this.tasks.get(index);
		if (task.state() != TaskState.WAITING) {
			throw new IllegalStateException("task " + index + " of " + id() + " is " + task.state());
		}
		task.advanceTo(Math.max(task.attempt() + 1, this.minimumAttempt));
		this.tasks.setState(task, TaskState.RESERVED);
		return attemptOf(task);
	}

	/**
	 * Record the worker that holds the reservation of an attempt.
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param incarnation the worker's incarnation
	 * @return {@code true} if the attempt is still the open one
	 */
	public boolean recordReservation(AttemptId attempt, WorkerId worker, String incarnation) {
		Task task = taskOf(attempt);
		boolean isPlacing = task.state() == TaskState.RESERVED || task.state() == TaskState.STARTING;
		if (this.retired || task.attempt() != attempt.attempt() || !isPlacing) {
			return false;
		}
		task.setPlacement(worker.value(), incarnation);
		return true;
	}

	/**
	 * Mark an attempt as starting. From now on it may run.
	 * @param attempt the attempt
	 * @return {@code true} if the attempt is still the open one and was reserved
	 */
	public boolean markStarting(AttemptId attempt) {
		Task task = taskOf(attempt);
		if (this.retired || task.attempt() != attempt.attempt() || task.state() != TaskState.RESERVED) {
			return false;
		}
		this.tasks.setState(task, TaskState.STARTING);
		return true;
	}

	/**
	 * Whether an attempt may be started now.
	 * @param attempt the attempt
	 * @return {@code true} if the attempt is still the open one and is starting
	 */
	public boolean isStarting(AttemptId attempt) {
		Task task = taskOf(attempt);
		return !this.retired && task.attempt() == attempt.attempt() && task.state() == TaskState.STARTING;
	}

	/**
	 * Record that a worker runs the attempt. Ignored if the attempt has already ended.
	 * @param attempt the attempt
	 * @param worker the worker that reported the run
	 */
	public void markRunning(AttemptId attempt, WorkerId worker) {
		Task task = taskOf(attempt);
		if (!task.acceptsMessageFor(attempt.attempt())) {
			return;
		}
		task.setWorker(worker.value());
		this.tasks.setState(task, TaskState.RUNNING);
	}

	/**
	 * Record that the attempt completed successfully. Idempotent.
	 * @param attempt the attempt
	 * @return {@code true} if the task's state changed
	 */
	public boolean markFinished(AttemptId attempt) {
		Task task = taskOf(attempt);
		if (!task.acceptsMessageFor(attempt.attempt())) {
			return false;
		}
		task.markEnded();
		this.tasks.setState(task, isService() ? TaskState.WAITING : TaskState.FINISHED);
		return true;
	}

	/**
	 * Record that the attempt definitely failed.
	 * @param attempt the attempt
	 * @param now the current time, from which the backoff counts
	 * @return {@code true} if the task's state changed
	 */
	public boolean markFailed(AttemptId attempt, Instant now) {
		Task task = taskOf(attempt);
		if (!task.acceptsMessageFor(attempt.attempt())) {
			return false;
		}
		task.recordFailure(now);
		boolean isLast = task.hasFailedTooOften() && !isService();
		this.tasks.setState(task, isLast ? TaskState.FAILED : TaskState.WAITING);
		return true;
	}

	/**
	 * Record that the attempt does not run and never will: it was not started, or its end
	 * is confirmed by the worker, by the worker's new incarnation or by the host list.
	 * @param attempt the attempt
	 * @return {@code true} if the task is waiting again
	 */
	public boolean markNotRunning(AttemptId attempt) {
		Task task = taskOf(attempt);
		if (!task.acceptsMessageFor(attempt.attempt())) {
			return false;
		}
		boolean wasOpen = task.isOpen();
		task.markEnded();
		if (wasOpen) {
			this.tasks.setState(task, TaskState.WAITING);
		}
		return wasOpen;
	}

	/**
	 * Record that the attempt was lost with its worker and not stopped.
	 * @param attempt the attempt
	 * @param now the current time, from which a backoff counts
	 * @return {@code true} if the task is waiting again
	 */
	public boolean markLost(AttemptId attempt, Instant now) {
		taskOf(attempt).recordLoss(attempt.attempt(), now);
		return markNotRunning(attempt);
	}

	/**
	 * Record that the lease of the attempt's worker expired. A repeatable task waits to
	 * be placed again; a run-once task becomes in doubt, as its state is unknown.
	 * @param attempt the attempt
	 * @return {@code true} if the task is waiting again
	 */
	public boolean markLeaseExpired(AttemptId attempt) {
		Task task = taskOf(attempt);
		if (task.attempt() != attempt.attempt() || !task.state().mayBeRunning()) {
			return false;
		}
		this.tasks.setState(task, this.workload.once() ? TaskState.IN_DOUBT : TaskState.WAITING);
		return task.state() == TaskState.WAITING;
	}

	/**
	 * Cancel all tasks that have not ended.
	 * @return the attempts that may run and have to be stopped
	 */
	public List<AttemptId> cancel() {
		List<AttemptId> open = openAttempts();
		this.tasks.setStates((task) -> !task.state().isFinal(), TaskState.CANCELLED);
		return open;
	}

	/**
	 * Apply a changed declaration, which may have more or fewer tasks. A task that is no
	 * longer declared keeps its attempt until its end is confirmed. If the workload
	 * becomes run-once, tasks with an attempt that may still run become in doubt.
	 * @param declared the declaration in force
	 * @return the open attempts of undeclared tasks, which have to be stopped
	 */
	public List<AttemptId> updateDeclaration(Workload declared) {
		this.workload = declared;
		if (declared.tasks() != this.tasks.declaredCount()) {
			this.tasks.setDeclaredCount(declared.tasks());
		}
		if (declared.once()) {
			this.tasks.setStates(Task::mayRunUnconfirmed, TaskState.IN_DOUBT);
		}
		if (isService()) {
			this.tasks.setStates((task) -> task.state() == TaskState.CANCELLED, TaskState.WAITING);
		}
		return this.tasks.allTasks().skip(declared.tasks()).filter(Task::isOpen).map(this::attemptOf).toList();
	}

	/**
	 * Attempts that hold a reservation or may run.
	 * @return the attempts
	 */
	public List<AttemptId> openAttempts() {
		return this.tasks.allTasks().filter(Task::isOpen).map(this::attemptOf).toList();
	}

	/**
	 * Number of attempts that hold a reservation or may run.
	 * @return the count
	 */
	public int openCount() {
		return this.tasks.openCount();
	}

	/**
	 * Number of tasks in each state.
	 * @return the counts; states without tasks are missing
	 */
	public Map<TaskState, Integer> stateCounts() {
		return this.tasks.counts();
	}

	/**
	 * Number of declared tasks in a state.
	 * @param state the state
	 * @return the count
	 */
	public int count(TaskState state) {
		return this.tasks.count(state);
	}

	/**
	 * Whether all declared tasks are in a final state.
	 * @return {@code true} if no task is started again
	 */
	public boolean isFinal() {
		return count(TaskState.FINISHED) + count(TaskState.FAILED) + count(TaskState.CANCELLED) == this.tasks
			.declaredCount();
	}

	/**
	 * Whether workloads that depend on this job may start.
	 * @return {@code true} if all tasks finished, or all replicas of a service run
	 */
	public boolean satisfiesDependents() {
		TaskState wanted = isService() ? TaskState.RUNNING : TaskState.FINISHED;
		return count(wanted) == this.tasks.declaredCount();
	}

	/**
	 * Record the time of the finish once all tasks have finished.
	 * @param now the current time
	 */
	public void recordFinish(Instant now) {
		if (this.finishedAt == null && !isService() && satisfiesDependents()) {
			this.finishedAt = now;
		}
	}

	/**
	 * Time at which the queue's owner detected that all tasks had finished.
	 * @return the time, empty before
	 */
	public Optional<Instant> finishedAt() {
		return Optional.ofNullable(this.finishedAt);
	}

	/**
	 * Retire this object because another one represents the job, which was reloaded or
	 * whose queue has a new owner. Pending answers start nothing from now on.
	 */
	public void retire() {
		this.retired = true;
	}

	/**
	 * Whether another object represents the job.
	 * @return {@code true} after {@link #retire()}
	 */
	public boolean isRetired() {
		return this.retired;
	}

	/**
	 * Open only attempts with higher numbers than the previous object of the job did.
	 * @param previous the previous object, with which no attempt number may be shared
	 */
	public void continueAttemptNumbersOf(Job previous) {
		long last = previous.tasks.allTasks().mapToLong(Task::attempt).max().orElse(0);
		this.minimumAttempt = Math.max(this.minimumAttempt, last + 1);
	}

	/**
	 * Version of the host list known to the writer of the loaded record.
	 * @return the version
	 */
	public long hostsVersion() {
		return this.hostsVersion;
	}

	/**
	 * Convert the progress to its durable form.
	 * @param writeId identity of the write
	 * @param knownHosts version of the host list that is known now
	 * @return the record
	 */
	public JobRecord toRecord(String writeId, long knownHosts) {
		return new JobRecord(this.queueEpoch, writeId, knownHosts, this.tasks.changedRecords(), this.finishedAt);
	}

	private Task taskOf(AttemptId attempt) {
		return this.tasks.get(attempt.task());
	}

	private AttemptId attemptOf(Task task) {
		return new AttemptId(id(), task.index(), task.attempt());
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
		return this.tasks.get(index).state();
	}

	/**
	 * The declared tasks in their durable form, for status reports.
	 * @return the tasks in order
	 */
	public List<TaskRecord> tasks() {
		return this.tasks.declaredTasks().map(Task::toRecord).toList();
	}

}
