package org.monsoonrelay.logic.rows;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepRecord;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * The row that holds the progress of a job. Small progress is written with one record for
 * each step, as earlier releases read it. Progress that would take a large row is written
 * as {@link CompactSteps}, which earlier releases cannot read: they start nothing of such
 * a job and acknowledge none of its ends. Invariant: a row contains all that is known of
 * completed tasks, failures and crashes; only checkpoints are left out of a row that
 * would be too large with them, which costs work that has to be done again. Immutable.
 */
public final class ProgressRow {

	/** Maximum size of a value if the settings do not name it, bytes. */
	public static final int DEFAULT_MAX_BYTES = 49_152;

	/**
	 * Share of the maximum size up to which a row is written in the form that earlier
	 * releases read.
	 */
	private static final double LISTED_SHARE = 0.25;

	/** Size of a record without tasks, and of a completed task in it, at least. */
	private static final int MIN_RECORD_BYTES = 80;

	private static final int MIN_TASK_BYTES = 2;

	/** Characters that a checkpoint takes in a row beside its text and its task. */
	private static final int CHECKPOINT_OVERHEAD_BYTES = 4;

	private final JobProgress progress;

	private ProgressRow(JobProgress progress) {
		this.progress = progress;
	}

	@JsonCreator
	static ProgressRow of(@JsonProperty("state") SubmissionState state,
			@JsonProperty("steps") Map<String, StepRecord> steps, @JsonProperty("compact") CompactSteps compact) {
		return new ProgressRow(new JobProgress(state, (compact != null) ? compact.toRecords() : steps));
	}

	/**
	 * Returns the progress that the row holds.
	 * @return the progress
	 */
	public JobProgress progress() {
		return this.progress;
	}

	/**
	 * Writes the progress of a job.
	 * @param progress the progress
	 * @param job the job
	 * @param maxBytes maximum size of a value, bytes
	 * @return the value of the row; it exceeds the maximum size only if completed tasks,
	 * failures and crashes alone do
	 */
	public static String write(JobProgress progress, Submission job, int maxBytes) {
		int maxListedBytes = (int) (maxBytes * LISTED_SHARE);
		if (minListedBytes(progress) <= maxListedBytes) {
			String listed = Json.write(progress);
			if (bytes(listed) <= maxListedBytes) {
				return listed;
			}
		}
		CompactSteps compact = CompactSteps.of(progress, job);
		String value = Json.write(new CompactForm(progress.state(), compact));
		Map<Integer, String> checkpoints = fittingCheckpoints(progress, job, maxBytes - bytes(value));
		return checkpoints.isEmpty() ? value
				: Json.write(new CompactForm(progress.state(), compact.withCheckpoints(checkpoints)));
	}

	// Saves composing a row of some hundred kilobytes to learn that it is too large.
	private static int minListedBytes(JobProgress progress) {
		return progress.steps()
			.values()
			.stream()
			.mapToInt((saved) -> MIN_RECORD_BYTES + MIN_TASK_BYTES * saved.done().size())
			.sum();
	}

	private static Map<Integer, String> fittingCheckpoints(JobProgress progress, Submission job, int freeBytes) {
		TaskNumbers numbers = TaskNumbers.of(job);
		Map<Integer, String> all = new TreeMap<>();
		progress.steps().forEach((local, saved) -> {
			int step = numbers.step(StepKey.ofLocalName(job.id(), local));
			saved.checkpoints().forEach((index, checkpoint) -> all.put(numbers.task(step, index), checkpoint));
		});
		Map<Integer, String> fitting = new LinkedHashMap<>();
		int rest = freeBytes;
		for (Map.Entry<Integer, String> entry : all.entrySet()) {
			rest -= bytes(Json.write(entry.getValue())) + bytes(entry.getKey().toString()) + CHECKPOINT_OVERHEAD_BYTES;
			if (rest < 0) {
				break;
			}
			fitting.put(entry.getKey(), entry.getValue());
		}
		return fitting;
	}

	private static int bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

	private record CompactForm(SubmissionState state, CompactSteps compact) {

	}

}
