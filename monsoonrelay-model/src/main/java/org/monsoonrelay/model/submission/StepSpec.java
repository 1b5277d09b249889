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
 * @param image what the tasks run, empty if unknown; tasks of one image behave alike
 * @param targetMillis upper bound for the tail latency of tasks that serve users,
 * milliseconds, 0 for none
 * @param maximumUnavailable number of tasks of a long-running step that this system may
 * make unavailable at the same time, 0 for no declared number
 */
public record StepSpec(int count, Resources size, long estimateMillis, List<Integer> dependsOn, boolean gang,
		boolean rackSensitive, String requiredLabel, String dataRack, int maximumPerWorker, boolean speculative,
		boolean checkpointing, boolean longRunning, boolean filling, String image, long targetMillis,
		int maximumUnavailable) {

	public StepSpec {
		if (count < 1) {
			throw new IllegalArgumentException("a step needs at least one task: " + count);
		}
		dependsOn = List.copyOf(dependsOn);
		Objects.requireNonNull(size, "size");
		size.times(count);
		Objects.requireNonNull(requiredLabel, "requiredLabel");
		Objects.requireNonNull(dataRack, "dataRack");
		// Rows of earlier releases have no image.
		image = (image != null) ? image : "";
	}

	/**
	 * Creates a step without an image and without a latency target.
	 * @param count number of tasks, at least 1
	 * @param size resources that each task requires
	 * @param estimateMillis declared run time of a task, milliseconds
	 * @param dependsOn numbers of earlier steps that have to be complete first
	 * @param gang whether the tasks make progress only while all of them run
	 * @param rackSensitive whether a gang is slower when it spans several racks
	 * @param requiredLabel label that a worker must have, empty for none
	 * @param dataRack rack that holds the data, empty for none
	 * @param maximumPerWorker maximum number of tasks on one worker, 0 for no limit
	 * @param speculative whether several attempts of a task may run in parallel
	 * @param checkpointing whether the tasks save checkpoints
	 * @param longRunning whether the tasks run until the job is cancelled
	 * @param filling whether the tasks use only processors that other tasks leave idle
	 */
	public StepSpec(int count, Resources size, long estimateMillis, List<Integer> dependsOn, boolean gang,
			boolean rackSensitive, String requiredLabel, String dataRack, int maximumPerWorker, boolean speculative,
			boolean checkpointing, boolean longRunning, boolean filling) {
		this(count, size, estimateMillis, dependsOn, gang, rackSensitive, requiredLabel, dataRack, maximumPerWorker,
				speculative, checkpointing, longRunning, filling, "", 0, 0);
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
