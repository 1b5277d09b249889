package org.monsoonrelay.model.submission;

/**
 * Identity of a step of one occurrence of a submitted job. Immutable.
 *
 * @param job the job's id
 * @param occurrence number of the occurrence
 * @param step number of the step
 */
public record StepKey(String job, int occurrence, int step) {

	private static final int PRIME = 31;

	/**
	 * Parse the form that {@link #localName()} returns.
	 * @param job the job's id
	 * @param localName the form {@code occurrence.step}
	 * @return the key
	 */
	public static StepKey ofLocalName(String job, String localName) {
		int dot = localName.indexOf('.');
		return new StepKey(job, Integer.parseInt(localName.substring(0, dot)),
				Integer.parseInt(localName.substring(dot + 1)));
	}

	/**
	 * Key of a task of the step.
	 * @param index number of the task
	 * @return the key
	 */
	public TaskKey task(int index) {
		return new TaskKey(this.job, this.occurrence, this.step, index);
	}

	/**
	 * Name of the step within its job.
	 * @return the form {@code occurrence.step}
	 */
	public String localName() {
		return this.occurrence + "." + this.step;
	}

	// Keys are looked up for each task in each pass of the scheduling loop, where the
	// generated methods of a record are several times as expensive.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof StepKey key && this.step == key.step
				&& this.occurrence == key.occurrence && this.job.equals(key.job));
	}

	@Override
	public int hashCode() {
		return (this.job.hashCode() * PRIME + this.occurrence) * PRIME + this.step;
	}

	@Override
	public String toString() {
		return this.job + '.' + this.occurrence + '.' + this.step;
	}

}
