package org.monsoonrelay.model.submission;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Durable progress of a submitted job. Immutable.
 *
 * @param state the state that may be reported to callers
 * @param steps records of the steps, by the local name of the step; occurrences that are
 * complete have one record for each range of them, by its name. Earlier releases take
 * such a row for that of another job, and start nothing of it
 */
public record JobProgress(SubmissionState state, Map<String, StepRecord> steps) {

	/** Local name of a step: the number of the occurrence and the number of the step. */
	private static final Pattern LOCAL_KEY = Pattern.compile("(\\d{1,9})\\.(\\d{1,9})");

	public JobProgress {
		Objects.requireNonNull(state, "state");
		steps = Map.copyOf(steps);
	}

	/**
	 * Creates the progress of a job.
	 * @param state the state that may be reported to callers
	 * @param steps records of steps by local name, without those of complete occurrences
	 * @param completedOccurrences numbers of the occurrences that are complete
	 * @return the progress
	 */
	static JobProgress of(SubmissionState state, Map<String, StepRecord> steps, BitSet completedOccurrences) {
		Map<String, StepRecord> records = new HashMap<>(steps);
		OccurrenceRange.of(completedOccurrences).forEach((range) -> records.put(range.name(), StepRecord.NONE));
		return new JobProgress(state, records);
	}

	/**
	 * Leaves out the checkpoints, so that the tasks start from the beginning.
	 * @return the progress without them
	 */
	public JobProgress withoutCheckpoints() {
		Map<String, StepRecord> records = new HashMap<>(this.steps);
		records.replaceAll((key, step) -> new StepRecord(step.done(), step.failedAttempts(), Map.of(),
				step.highestAttempt(), step.crashes(), step.failures()));
		return new JobProgress(this.state, records);
	}

	/**
	 * Occurrences that are complete and have no records of their steps.
	 * @param job the job
	 * @return numbers of the occurrences
	 */
	BitSet completedOccurrences(Submission job) {
		BitSet completed = new BitSet();
		int end = job.timetable().occurrences();
		this.steps.keySet()
			.stream()
			.flatMap((key) -> OccurrenceRange.parse(key).stream())
			.filter((range) -> range.first() < end)
			.forEach((range) -> completed.set(range.first(), Math.min(range.last() + 1, end)));
		return completed;
	}

	/**
	 * Whether this progress is consistent with a job: it refers only to steps and tasks
	 * of the job.
	 * @param job the job
	 * @return {@code true} if it is consistent
	 */
	public boolean matches(Submission job) {
		return this.steps.entrySet().stream().allMatch((entry) -> matches(job, entry.getKey(), entry.getValue()));
	}

	/**
	 * What this progress tells beyond another one of the same job.
	 * @param known the other progress
	 * @param job the job
	 * @return the difference; of a job that has ended no tasks are known
	 */
	public Difference differenceTo(JobProgress known, Submission job) {
		BitSet completed = completedOccurrences(job);
		BitSet knownCompleted = known.completedOccurrences(job);
		completed.andNot(knownCompleted);
		int done = completed.stream().map((occurrence) -> known.missingTasks(job, occurrence)).sum();
		int failures = 0;
		for (Map.Entry<String, StepRecord> entry : this.steps.entrySet()) {
			Matcher local = LOCAL_KEY.matcher(entry.getKey());
			if (!local.matches() || knownCompleted.get(Integer.parseInt(local.group(1)))) {
				continue;
			}
			StepRecord saved = entry.getValue();
			StepRecord other = known.steps().getOrDefault(entry.getKey(), StepRecord.NONE);
			done += (int) saved.done().stream().filter((index) -> !other.done().contains(index)).count();
			failures += saved.failuresBeyond(other);
		}
		return new Difference(done, failures);
	}

	private int missingTasks(Submission job, int occurrence) {
		int missing = 0;
		for (int step = 0; step < job.steps().size(); step++) {
			String key = new StepKey(job.id(), occurrence, step).localName();
			missing += job.steps().get(step).completionCount()
					- this.steps.getOrDefault(key, StepRecord.NONE).done().size();
		}
		return missing;
	}

	private static boolean matches(Submission job, String key, StepRecord saved) {
		Optional<OccurrenceRange> range = OccurrenceRange.parse(key);
		if (range.isPresent()) {
			return range.get().last() < job.timetable().occurrences();
		}
		Matcher local = LOCAL_KEY.matcher(key);
		if (!local.matches() || Integer.parseInt(local.group(1)) >= job.timetable().occurrences()) {
			return false;
		}
		int step = Integer.parseInt(local.group(2));
		return step < job.steps().size()
				&& saved.done().stream().allMatch((index) -> index < job.steps().get(step).count());
	}

	/**
	 * What one progress tells beyond another one. Immutable.
	 *
	 * @param doneTasks number of tasks that only the first one has as completed
	 * @param failures number of failed attempts that only the first one counts
	 */
	public record Difference(int doneTasks, int failures) {

	}

}
