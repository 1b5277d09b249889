package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;

import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.logic.submission.StoredProgress;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * The jobs that the owner knows, their open steps, and the jobs whose progress is not
 * durable yet. Invariant: a step is opened only if its job has not ended, its due time
 * has passed, and the steps that it depends on are complete. Not thread-safe: confined to
 * the control thread.
 */
final class JobRegistry {

	/**
	 * Number of attempt numbers that are reserved for each epoch. Attempts of this owner
	 * for inherited jobs are numbered above those of all earlier epochs.
	 */
	private static final int ATTEMPTS_PER_EPOCH = 16;

	/** Instead of a version if no progress was restored. */
	static final long NO_PROGRESS = -1;

	private final long epoch;

	private final Map<String, SubmittedJob> jobs = new HashMap<>();

	private final Map<StepKey, ActiveStep> openSteps = new LinkedHashMap<>();

	private final Map<String, Set<StepKey>> openStepKeysByJob = new HashMap<>();

	private final Set<String> unfinished = new LinkedHashSet<>();

	private final Set<String> ended = new HashSet<>();

	private final Set<String> cancelledBeforeAdded = new HashSet<>();

	// The version of the progress with which each inherited job was restored.
	private final Map<String, Long> inherited = new HashMap<>();

	private final Map<String, Long> deferred = new HashMap<>();

	private final UnwrittenJobs unwritten = new UnwrittenJobs(this.jobs::get);

	private final Set<String> changed = new LinkedHashSet<>();

	private final Set<String> timetabled = new LinkedHashSet<>();

	private final QueuedJobs queuedJobs = new QueuedJobs();

	private final UnconfirmedLosses unconfirmedLosses = new UnconfirmedLosses(this::isInherited);

	private final UnresolvedStarts unresolvedStarts = new UnresolvedStarts();

	private OpenStepListener openStepListener = OpenStepListener.NONE;

	JobRegistry(long epoch) {
		this.epoch = epoch;
	}

	/**
	 * Sets what is notified of the steps that are opened and closed from now on.
	 * @param listener the listener
	 */
	void observeOpenSteps(OpenStepListener listener) {
		this.openStepListener = listener;
	}

	/**
	 * Adds a job if it is not known yet.
	 * @param submission the job
	 * @param progress the progress that an earlier owner stored, if any
	 * @param isInherited whether an earlier owner may have started tasks of it
	 * @return {@code true} if it was not known
	 */
	boolean add(Submission submission, Optional<StoredProgress> progress, boolean isInherited) {
		if (this.jobs.containsKey(submission.id())) {
			return false;
		}
		SubmittedJob job = new SubmittedJob(submission);
		progress.map(StoredProgress::progress).ifPresent(job::restore);
		this.jobs.put(job.id(), job);
		if (job.isEnded()) {
			return true;
		}
		if (isInherited) {
			this.inherited.put(job.id(), progress.map(StoredProgress::version).orElse(NO_PROGRESS));
		}
		this.unfinished.add(job.id());
		this.changed.add(job.id());
		this.queuedJobs.update(job);
		if (submission.timetable().firstDueMillis() > 0 || submission.timetable().occurrences() > 1) {
			this.timetabled.add(job.id());
		}
		if (this.cancelledBeforeAdded.remove(job.id())) {
			cancel(job.id());
		}
		return true;
	}

	/**
	 * Adds progress of an earlier owner that was read after its job.
	 * @param job the job
	 * @param late the progress
	 */
	void join(SubmittedJob job, StoredProgress late) {
		job.join(late.progress());
		this.inherited.computeIfPresent(job.id(), (id, restored) -> Math.max(restored, late.version()));
		openStepsOf(job.id()).forEach(ActiveStep::progressJoined);
		markDirty(job);
	}

	/**
	 * Adds the id of a job that had ended before this owner took over. Only the id is
	 * kept.
	 * @param id the job's id
	 */
	void addEnded(String id) {
		this.ended.add(id);
	}

	boolean isKnown(String id) {
		return this.jobs.containsKey(id) || this.ended.contains(id);
	}

	/**
	 * Cancels a job. If the job is not known yet, it is cancelled when it is added.
	 * @param id the job's id
	 * @return the job, if this ended it
	 */
	Optional<SubmittedJob> cancel(String id) {
		SubmittedJob job = this.jobs.get(id);
		if (job == null) {
			if (!this.ended.contains(id)) {
				this.cancelledBeforeAdded.add(id);
			}
			return Optional.empty();
		}
		if (job.isEnded()) {
			return Optional.empty();
		}
		job.cancel();
		markDirty(job);
		return Optional.of(job);
	}

	/**
	 * Ends a job that cannot be continued as failed. Has no effect if it has ended.
	 * @param id the job's id
	 * @return the job, if this ended it
	 */
	Optional<SubmittedJob> giveUp(String id) {
		SubmittedJob job = this.jobs.get(id);
		if (job == null || job.isEnded()) {
			return Optional.empty();
		}
		job.giveUp();
		markDirty(job);
		return Optional.of(job);
	}

	/**
	 * Opens the steps that are due and closes those that are complete. Only jobs with a
	 * change or a timetable are considered, since the cost of visiting all jobs in each
	 * turn grew with the size of the pool.
	 * @param nowMillis current time, epoch milliseconds
	 */
	void updateSteps(long nowMillis) {
		Set<String> candidates = new LinkedHashSet<>(this.timetabled);
		candidates.addAll(this.changed);
		this.changed.clear();
		for (String id : candidates) {
			SubmittedJob job = this.jobs.get(id);
			closeSteps(id);
			if (job.isEnded()) {
				this.unfinished.remove(id);
				this.timetabled.remove(id);
			}
			else {
				openDueSteps(job, nowMillis);
			}
		}
	}

	private void closeSteps(String job) {
		for (ActiveStep step : openStepsOf(job)) {
			if (step.isIdle() && (step.job().isEnded() || step.progress().isComplete())) {
				this.openSteps.remove(step.key());
				this.openStepListener.closed(step);
				this.openStepKeysByJob.get(job).remove(step.key());
			}
		}
	}

	private void openDueSteps(SubmittedJob job, long nowMillis) {
		Submission submission = job.submission();
		for (int occurrence = 0; occurrence < submission.timetable().occurrences(); occurrence++) {
			if (submission.timetable().dueMillis(occurrence) > nowMillis) {
				return;
			}
			for (int step = 0; step < submission.steps().size(); step++) {
				StepKey key = new StepKey(job.id(), occurrence, step);
				if (!this.openSteps.containsKey(key) && !job.progress(key).isComplete() && job.isReady(key)) {
					openStep(key, job);
				}
			}
		}
	}

	/**
	 * Opens a step that a worker reports as running, even if the steps that it depends on
	 * are not known to be complete: their ends may be listed by workers that have not
	 * been polled yet.
	 * @param key the step
	 * @return the step, empty if there is no such step or its job has ended
	 */
	Optional<ActiveStep> openRunningStep(StepKey key) {
		SubmittedJob job = this.jobs.get(key.job());
		boolean exists = job != null && !job.isEnded() && key.step() < job.submission().steps().size()
				&& key.occurrence() < job.submission().timetable().occurrences();
		if (!exists) {
			return Optional.empty();
		}
		this.changed.add(job.id());
		ActiveStep known = this.openSteps.get(key);
		return Optional.of((known != null) ? known : openStep(key, job));
	}

	private ActiveStep openStep(StepKey key, SubmittedJob job) {
		ActiveStep step = new ActiveStep(key, job, attemptFloor(job));
		this.openSteps.put(key, step);
		this.openStepListener.opened(step);
		this.openStepKeysByJob.computeIfAbsent(job.id(), (id) -> new LinkedHashSet<>()).add(key);
		return step;
	}

	/**
	 * Defers the start of a job's tasks until the owner record is written again, as
	 * another owner may have taken over before the job was stored.
	 * @param id the job's id
	 * @param version version of the job's row
	 */
	void deferStart(String id, long version) {
		this.deferred.put(id, version);
	}

	/**
	 * Allows the start of deferred jobs that were stored before the owner record was
	 * written.
	 * @param isConfirmed determines this from the version of a job's row
	 */
	void releaseDeferred(LongPredicate isConfirmed) {
		this.deferred.values().removeIf(isConfirmed::test);
	}

	boolean isDeferred(String id) {
		return this.deferred.containsKey(id);
	}

	boolean hasDeferred() {
		return !this.deferred.isEmpty();
	}

	private int attemptFloor(SubmittedJob job) {
		return this.inherited.containsKey(job.id()) ? (int) (ATTEMPTS_PER_EPOCH * (this.epoch - 1)) : 0;
	}

	/**
	 * Marks a job's progress as to be written.
	 * @param job the job
	 */
	void markDirty(SubmittedJob job) {
		this.unwritten.add(job.id());
		this.changed.add(job.id());
		this.queuedJobs.update(job);
	}

	/**
	 * Records that a task of a job has started. The state of most jobs is written with
	 * the first end of a task; a job with long-running tasks may have none.
	 * @param job the job
	 */
	void markStarted(SubmittedJob job) {
		boolean isFirst = job.markStarted();
		this.queuedJobs.update(job);
		if (isFirst && job.submission().steps().stream().anyMatch(StepSpec::longRunning)) {
			markDirty(job);
		}
	}

	/**
	 * Jobs whose progress is to be written.
	 * @return the jobs
	 */
	UnwrittenJobs unwritten() {
		return this.unwritten;
	}

	QueueSummary summary() {
		return this.queuedJobs.summary();
	}

	int waitingCount() {
		return this.queuedJobs.count();
	}

	Optional<SubmittedJob> job(String id) {
		return Optional.ofNullable(this.jobs.get(id));
	}

	Optional<ActiveStep> step(StepKey key) {
		return Optional.ofNullable(this.openSteps.get(key));
	}

	Collection<ActiveStep> openSteps() {
		return this.openSteps.values();
	}

	List<ActiveStep> openStepsOf(String job) {
		return this.openStepKeysByJob.getOrDefault(job, Set.of()).stream().map(this.openSteps::get).toList();
	}

	/**
	 * Returns whether a task has still to be done.
	 * @param task the task
	 * @return {@code false} also if its job is not known or has no such step
	 */
	boolean isUnfinished(TaskKey task) {
		return job(task.job()).filter((job) -> !job.isEnded() && task.step() < job.submission().steps().size())
			.filter((job) -> !job.progress(task.stepKey()).isDone(task.index()))
			.isPresent();
	}

	List<SubmittedJob> inheritedJobs() {
		return this.inherited.keySet().stream().map(this.jobs::get).toList();
	}

	boolean isInherited(String job) {
		return this.inherited.containsKey(job);
	}

	/**
	 * Version of the progress with which an inherited job was restored.
	 * @param job the job's id
	 * @return the version, {@link #NO_PROGRESS} if there was no progress
	 */
	long restoredVersion(String job) {
		return this.inherited.getOrDefault(job, NO_PROGRESS);
	}

	/**
	 * Tasks that are not started again before the owner record is written.
	 * @return the tasks
	 */
	UnconfirmedLosses unconfirmedLosses() {
		return this.unconfirmedLosses;
	}

	/**
	 * Tasks that are not started again while an earlier start may be executed.
	 * @return the tasks
	 */
	UnresolvedStarts unresolvedStarts() {
		return this.unresolvedStarts;
	}

	int unfinishedCount() {
		return this.unfinished.size();
	}

}
