package org.monsoonrelay.model.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A submitted job with its progress. Invariants: a final state never changes; a job is
 * completed only when every task of every occurrence is complete; it has failed only when
 * a task that is not long-running has failed as often as the queue allows, when a task is
 * given up because it crashes its workers, or when its progress cannot be stored. Not
 * thread-safe: confined to the control thread of the pool's owner.
 */
public final class SubmittedJob {

	private final Submission submission;

	private final Map<String, StepProgress> steps = new HashMap<>();

	private SubmissionState state = SubmissionState.QUEUED;

	private SubmissionState durableState = SubmissionState.QUEUED;

	private int crashRecords;

	private int durableCrashRecords;

	public SubmittedJob(Submission submission) {
		this.submission = submission;
	}

	/**
	 * Restore the durable progress that an earlier owner wrote.
	 * @param progress the durable progress
	 */
	public void restore(JobProgress progress) {
		progress.steps().forEach((local, saved) -> this.steps.put(local, StepProgress.restore(spec(local), saved)));
		this.state = progress.state();
		this.durableState = progress.state();
	}

	/**
	 * Add durable progress of an earlier owner that was read after the job was restored.
	 * Nothing that is known is lost. The job ends if the earlier owner ended it, or if
	 * both together have done all of its tasks or failed too often. Tasks with recorded
	 * starts or crashes wait until the result is durable, as this owner may have written
	 * over the row that told of them.
	 * @param told the progress
	 */
	public void join(JobProgress told) {
		told.steps().forEach((local, saved) -> {
			this.steps.computeIfAbsent(local, this::newProgress).join(saved);
			if (!saved.crashes().isEmpty()) {
				this.crashRecords++;
			}
		});
		boolean isEndTold = told.state().isFinal() && !this.durableState.isFinal();
		if (isEndTold || (this.state == SubmissionState.QUEUED && told.state() != SubmissionState.QUEUED)) {
			this.state = told.state();
		}
		told.steps().keySet().forEach((local) -> updateState(StepKey.ofLocalName(id(), local)));
	}

	private StepSpec spec(String local) {
		return this.submission.steps().get(Integer.parseInt(local.substring(local.indexOf('.') + 1)));
	}

	/**
	 * Progress of a step.
	 * @param key the step
	 * @return progress of the step, created if absent
	 */
	public StepProgress progress(StepKey key) {
		return this.steps.computeIfAbsent(key.localName(), this::newProgress);
	}

	private StepProgress newProgress(String local) {
		return new StepProgress(spec(local));
	}

	/**
	 * Whether all steps that a step depends on are complete.
	 * @param key the step
	 * @return {@code true} if the step's tasks may start once the occurrence is due
	 */
	public boolean isReady(StepKey key) {
		return this.submission.steps()
			.get(key.step())
			.dependsOn()
			.stream()
			.allMatch((earlier) -> progress(new StepKey(key.job(), key.occurrence(), earlier)).isComplete());
	}

	/**
	 * Record that a task has started.
	 * @return {@code true} if no task had started before
	 */
	public boolean markStarted() {
		boolean isFirst = this.state == SubmissionState.QUEUED;
		if (isFirst) {
			this.state = SubmissionState.RUNNING;
		}
		return isFirst;
	}

	/**
	 * Cancel the job. Has no effect if the job has ended.
	 */
	public void cancel() {
		if (!this.state.isFinal()) {
			this.state = SubmissionState.CANCELLED;
		}
	}

	/**
	 * Record that the job cannot be continued, as its progress cannot be stored. Has no
	 * effect if the job has ended.
	 */
	public void giveUp() {
		if (!this.state.isFinal()) {
			this.state = SubmissionState.FAILED;
		}
	}

	/**
	 * Record that a worker may have crashed while a task was active on it.
	 * @param task the task
	 * @param evidence how certain that is
	 */
	public void recordCrash(TaskKey task, CrashEvidence evidence) {
		if (evidence != CrashEvidence.NONE) {
			this.crashRecords++;
			progress(task.stepKey()).recordCrash(task.index(), evidence);
		}
	}

	/**
	 * Record that a task may be started once this is durable.
	 * @param task the task
	 */
	public void recordStart(TaskKey task) {
		this.crashRecords++;
		progress(task.stepKey()).recordStart(task.index());
	}

	/**
	 * Tasks of which a start or a crash is recorded.
	 * @return the tasks
	 */
	public List<TaskKey> tasksWithRecordedStart() {
		List<TaskKey> tasks = new ArrayList<>();
		this.steps.forEach((local, progress) -> {
			StepKey key = StepKey.ofLocalName(id(), local);
			progress.tasksWithRecordedStart().forEach((index) -> tasks.add(key.task(index)));
		});
		return tasks;
	}

	/**
	 * Whether crashes or starts are recorded that the next owner would not know of. The
	 * tasks are not started until the records are durable.
	 * @return {@code true} if a record is not durable yet
	 */
	public boolean hasUndurableCrashRecords() {
		return this.crashRecords != this.durableCrashRecords;
	}

	/**
	 * Update the state after the progress of a step has changed: the job may have failed
	 * or be completed.
	 * @param key the step whose progress changed
	 */
	public void updateState(StepKey key) {
		if (this.state.isFinal()) {
			return;
		}
		StepSpec spec = this.submission.steps().get(key.step());
		StepProgress progress = progress(key);
		boolean hasFailedTooOften = !spec.longRunning()
				&& progress.maximumFailures() >= this.submission.policy().maximumAttempts();
		if (hasFailedTooOften || progress.hasCrashingTask()) {
			this.state = SubmissionState.FAILED;
		}
		else if (isEveryStepComplete()) {
			this.state = SubmissionState.COMPLETED;
		}
	}

	private boolean isEveryStepComplete() {
		for (int occurrence = 0; occurrence < this.submission.timetable().occurrences(); occurrence++) {
			for (int step = 0; step < this.submission.steps().size(); step++) {
				StepProgress progress = this.steps.get(occurrence + "." + step);
				if (progress == null || !progress.isComplete()) {
					return false;
				}
			}
		}
		return true;
	}

	/**
	 * Record that a state is durable and may be reported to callers.
	 * @param durable the durable state
	 * @param durableCrashes the value of {@link #crashRecords()} when the progress was
	 * written
	 */
	public void markDurable(SubmissionState durable, int durableCrashes) {
		this.durableState = durable;
		this.durableCrashRecords = durableCrashes;
	}

	/**
	 * Number of crashes and starts recorded by this process.
	 * @return the number, which only increases
	 */
	public int crashRecords() {
		return this.crashRecords;
	}

	/**
	 * Convert the progress to its durable form. Only the state of a job that has ended is
	 * kept, because a new owner reads the progress of all jobs before it starts.
	 * @return the progress
	 */
	public JobProgress toProgress() {
		if (isEnded()) {
			return new JobProgress(this.state, Map.of());
		}
		Map<String, StepRecord> saved = new HashMap<>();
		this.steps.forEach((local, progress) -> saved.put(local, progress.toRecord()));
		return new JobProgress(this.state, saved);
	}

	public Submission submission() {
		return this.submission;
	}

	public String id() {
		return this.submission.id();
	}

	public SubmissionState state() {
		return this.state;
	}

	public SubmissionState durableState() {
		return this.durableState;
	}

	public boolean isEnded() {
		return this.state.isFinal();
	}

}
