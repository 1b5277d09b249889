package org.monsoonrelay.logic.rows;

import java.util.List;

import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;

/**
 * Numbers the tasks of all occurrences of a job from 0, occurrence by occurrence and step
 * by step. Immutable.
 */
final class TaskNumbers {

	private final int occurrences;

	// Number of the first task of each step in an occurrence, and the number of all.
	private final int[] offsets;

	/**
	 * Creates the numbers of a job.
	 * @param occurrences number of occurrences
	 * @param counts number of tasks of each step
	 * @throws IllegalArgumentException if there are no tasks, or more than a job may have
	 */
	TaskNumbers(int occurrences, List<Integer> counts) {
		this.occurrences = occurrences;
		this.offsets = new int[counts.size() + 1];
		long tasks = 0;
		for (int i = 0; i < counts.size(); i++) {
			tasks += counts.get(i);
			if (counts.get(i) < 1 || tasks * occurrences > Submission.MAX_TASKS) {
				throw new IllegalArgumentException("not the steps of a job: " + occurrences + " times " + counts);
			}
			this.offsets[i + 1] = (int) tasks;
		}
		if (occurrences < 1 || tasks == 0) {
			throw new IllegalArgumentException("not the steps of a job: " + occurrences + " times " + counts);
		}
	}

	static TaskNumbers of(Submission job) {
		return new TaskNumbers(job.timetable().occurrences(), counts(job));
	}

	static List<Integer> counts(Submission job) {
		return job.steps().stream().map(StepSpec::count).toList();
	}

	int steps() {
		return this.offsets.length - 1;
	}

	/**
	 * Returns the number of steps of all occurrences.
	 * @return the number
	 */
	int allSteps() {
		return this.occurrences * steps();
	}

	/**
	 * Returns the number of tasks of all occurrences.
	 * @return the number
	 */
	int allTasks() {
		return this.occurrences * this.offsets[steps()];
	}

	/**
	 * Returns the number of the first task of a step.
	 * @param step number of the step among those of all occurrences
	 * @return the number of the task
	 */
	int first(int step) {
		return (step / steps()) * this.offsets[steps()] + this.offsets[step % steps()];
	}

	/**
	 * Returns the number of a task.
	 * @param step number of the step among those of all occurrences
	 * @param index number of the task in the step
	 * @return the number of the task
	 * @throws IllegalArgumentException if the step has no such task
	 */
	int task(int step, int index) {
		if (index < 0 || index >= count(step)) {
			throw new IllegalArgumentException("no task " + index + " in step " + step);
		}
		return first(step) + index;
	}

	int count(int step) {
		return this.offsets[step % steps() + 1] - this.offsets[step % steps()];
	}

	int step(StepKey key) {
		return key.occurrence() * steps() + key.step();
	}

	StepKey key(int step) {
		return new StepKey("", step / steps(), step % steps());
	}

}
