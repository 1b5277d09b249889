package org.monsoonrelay.model.submission;

/**
 * Identity of a step of one occurrence of a submitted job. Immutable.
 *
 * @param job the job's id
 * @param occurrence number of the occurrence
 * @param step number of the step
 */
public record StepKey(String job, int occurrence, int step) {

	/**
	 * A task of the step.
	 * @param index number of the task
	 * @return its key
	 */
	public TaskKey task(int index) {
		return new TaskKey(this.job, this.occurrence, this.step, index);
	}

	/**
	 * Name of the step within its job.
	 * @return the form {@code occurrence.step}
	 */
	public String local() {
		return this.occurrence + "." + this.step;
	}

	@Override
	public String toString() {
		return this.job + '.' + this.occurrence + '.' + this.step;
	}

}
