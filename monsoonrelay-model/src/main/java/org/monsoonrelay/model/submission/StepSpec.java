package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Objects;

import org.monsoonrelay.model.capacity.Resources;

/**
 * One step of a submitted job, which consists of identical tasks. Invariant: the total
 * size of all tasks does not overflow. Immutable.
 *
 * @param count number of tasks, at least 1
 * @param size resources that each task requires; processors in thousandths
 * @param estimateMillis declared run time of a task, milliseconds; often inaccurate
 * @param dependsOn numbers of earlier steps that have to be complete first
 * @param gang whether the tasks make progress only while all of them run
 * @param rackSensitive whether a gang is slower when it spans several racks
 * @param requiredLabel label that a worker must have, empty for none
 * @param dataRack rack that holds the data, empty for none; tasks run slower on others
 * @param maximumPerWorker maximum number of tasks of an occurrence on one worker, 0 for
 * no limit
 * @param speculative whether several attempts of a task may run in parallel
 * @param checkpointing whether the tasks save checkpoints
 * @param longRunning whether the tasks run until the job is cancelled
 * @param filling whether the tasks use only processors that other tasks leave idle
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
	 * Capacity that a task commits on its worker. Filling tasks commit no processors.
	 * @return the committed capacity
	 */
	public Resources committedSize() {
		return this.filling ? new Resources(0, this.size.memoryMiB(), this.size.accelerators()) : this.size;
	}

	/**
	 * Number of completions that complete the step. A gang completes as a unit.
	 * @return the count
	 */
	public int completionCount() {
		return this.gang ? 1 : this.count;
	}

}
