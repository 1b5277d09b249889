package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Objects;

import org.monsoonrelay.model.capacity.Resources;

/**
 * One step of a submitted job: a number of equal tasks. Invariant: what all its tasks
 * hold can be counted. Immutable.
 *
 * @param count how many tasks, at least 1
 * @param size what each task holds; processors in thousandths
 * @param estimateMillis the declared run time of a task, milliseconds; often far off
 * @param dependsOn numbers of earlier steps that have to be done first
 * @param gang whether the tasks work only while all of them run
 * @param rackSensitive whether a gang slows down when it spans racks
 * @param requiredLabel label that a worker must have, empty for none
 * @param dataRack rack of the data, empty for none; other racks are slower
 * @param maximumPerWorker the most tasks of an occurrence on one worker, 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param checkpointing whether the tasks save their progress
 * @param longRunning whether the tasks run until the job is cancelled
 * @param filling whether the tasks use only processors that others leave idle
 */
public record StepSpec(int count, Resources size, long estimateMillis, List<Integer> dependsOn, boolean gang,
		boolean rackSensitive, String requiredLabel, String dataRack, int maximumPerWorker, boolean speculative,
		boolean checkpointing, boolean longRunning, boolean filling) {

	public StepSpec {
		if (count < 1) {
			throw new IllegalArgumentException("a step needs at least one task: " + count);
		}
		dependsOn = List.copyOf(dependsOn);
		Objects.requireNonNull(size, "size");
		size.times(count);
		Objects.requireNonNull(requiredLabel, "requiredLabel");
		Objects.requireNonNull(dataRack, "dataRack");
	}

	/**
	 * What a task takes of a worker's ledger. Filling tasks hold memory only.
	 * @return the room a task holds
	 */
	public Resources committedSize() {
		return this.filling ? new Resources(0, this.size.memoryMiB(), this.size.accelerators()) : this.size;
	}

	/**
	 * Number of tasks whose ends complete the step: a gang ends as one.
	 * @return the count
	 */
	public int completionCount() {
		return this.gang ? 1 : this.count;
	}

}
