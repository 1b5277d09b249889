package org.monsoonrelay.logic.rows;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepRecord;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.TaskCrashes;

/**
 * The records of all steps of a job, by what is the same for many tasks. Its size without
 * checkpoints depends on the number of tasks and of different attempts that failed, not
 * on the number of steps and occurrences. Of the highest attempts of the steps only the
 * largest is kept, as attempts only have to increase. Immutable.
 *
 * @param occurrences number of occurrences of the job
 * @param counts number of tasks of each step
 * @param highestAttempt highest number of an attempt that ended, of all steps
 * @param steps numbers of the steps that have a record; sets are in the form of
 * {@link TaskSetCodec}
 * @param done numbers of the completed tasks
 * @param failed numbers of the tasks that failed, by attempt
 * @param crashes numbers of the tasks that have crash records
 * @param checkpoints checkpoints by number of the task
 */
public record CompactSteps(int occurrences, List<Integer> counts, int highestAttempt, String steps, String done,
		Map<Integer, String> failed, List<CrashedTasks> crashes, Map<Integer, String> checkpoints) {

	public CompactSteps {
		counts = List.copyOf(counts);
		failed = Map.copyOf(failed);
		crashes = List.copyOf(crashes);
		checkpoints = Map.copyOf(checkpoints);
	}

	/**
	 * Converts the progress of a job, without its checkpoints.
	 * @param progress the progress
	 * @param job the job
	 * @return the records of its steps
	 */
	static CompactSteps of(JobProgress progress, Submission job) {
		TaskNumbers numbers = TaskNumbers.of(job);
		int highestAttempt = 0;
		BitSet steps = new BitSet();
		BitSet done = new BitSet();
		Map<Integer, BitSet> failed = new TreeMap<>();
		Map<TaskCrashes, BitSet> crashes = new LinkedHashMap<>();
		for (Map.Entry<String, StepRecord> entry : progress.steps().entrySet()) {
			StepRecord saved = entry.getValue();
			int step = numbers.step(StepKey.ofLocalName(job.id(), entry.getKey()));
			steps.set(step);
			highestAttempt = Math.max(highestAttempt, saved.highestAttempt());
			saved.done().forEach((index) -> done.set(numbers.task(step, index)));
			saved.failedAttempts()
				.forEach((index, attempts) -> attempts
					.forEach((attempt) -> failed.computeIfAbsent(attempt, (same) -> new BitSet())
						.set(numbers.task(step, index))));
			saved.crashes()
				.forEach((index, crashed) -> crashes.computeIfAbsent(crashed, (same) -> new BitSet())
					.set(numbers.task(step, index)));
		}
		Map<Integer, String> failedTasks = new HashMap<>();
		failed.forEach((attempt, tasks) -> failedTasks.put(attempt, TaskSetCodec.encode(tasks)));
		List<CrashedTasks> crashedTasks = new ArrayList<>();
		crashes.forEach((crashed, tasks) -> crashedTasks.add(new CrashedTasks(crashed, TaskSetCodec.encode(tasks))));
		return new CompactSteps(job.timetable().occurrences(), TaskNumbers.counts(job), highestAttempt,
				TaskSetCodec.encode(steps), TaskSetCodec.encode(done), failedTasks, crashedTasks, Map.of());
	}

	CompactSteps withCheckpoints(Map<Integer, String> saved) {
		return new CompactSteps(this.occurrences, this.counts, this.highestAttempt, this.steps, this.done, this.failed,
				this.crashes, saved);
	}

	/**
	 * Converts the records back. Tasks of steps that have no record are left out.
	 * @return the records by local name of the step
	 * @throws IllegalArgumentException if the steps are not those of a job, or a set is
	 * malformed
	 */
	Map<String, StepRecord> toRecords() {
		TaskNumbers numbers = new TaskNumbers(this.occurrences, this.counts);
		BitSet known = TaskSetCodec.decode(this.steps, numbers.allSteps());
		int tasks = numbers.allTasks();
		BitSet doneTasks = TaskSetCodec.decode(this.done, tasks);
		Map<Integer, List<Integer>> failedTasks = new HashMap<>();
		this.failed.forEach((attempt, set) -> TaskSetCodec.decode(set, tasks)
			.stream()
			.forEach((task) -> failedTasks.computeIfAbsent(task, (same) -> new ArrayList<>()).add(attempt)));
		Map<Integer, TaskCrashes> crashedTasks = new HashMap<>();
		this.crashes.forEach((group) -> TaskSetCodec.decode(group.tasks(), tasks)
			.stream()
			.forEach((task) -> crashedTasks.put(task, group.crashes())));
		Map<String, StepRecord> records = new HashMap<>();
		known.stream().forEach((step) -> {
			int first = numbers.first(step);
			int end = first + numbers.count(step);
			StepRecord saved = new StepRecord(doneTasks.get(first, end).stream().boxed().toList(),
					ofStep(failedTasks, first, end), ofStep(this.checkpoints, first, end), this.highestAttempt,
					ofStep(crashedTasks, first, end));
			records.put(numbers.key(step).localName(), saved);
		});
		return records;
	}

	private static <T> Map<Integer, T> ofStep(Map<Integer, T> tasks, int first, int end) {
		Map<Integer, T> selected = new HashMap<>();
		for (int task = first; task < end && !tasks.isEmpty(); task++) {
			T value = tasks.get(task);
			if (value != null) {
				selected.put(task - first, value);
			}
		}
		return selected;
	}

}
