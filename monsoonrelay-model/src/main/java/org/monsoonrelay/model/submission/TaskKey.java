package org.monsoonrelay.model.submission;

/**
 * Identity of a task of a submitted job. Immutable.
 *
 * @param job the job's id
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param index number of the task within its step
 */
public record TaskKey(String job, int occurrence, int step, int index) {

	private static final int PARTS = 4;

	private static final int PRIME = 31;

	/**
	 * Parse the form that {@link #toString()} returns.
	 * @param text the form {@code job.occurrence.step.index}
	 * @return the key
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static TaskKey parse(String text) {
		String[] parts = text.split("\\.");
		if (parts.length != PARTS) {
			throw new IllegalArgumentException("not a task (job.occurrence.step.index): " + text);
		}
		return new TaskKey(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]),
				Integer.parseInt(parts[3]));
	}

	/**
	 * Key of the step that the task belongs to.
	 * @return the key
	 */
	public StepKey stepKey() {
		return new StepKey(this.job, this.occurrence, this.step);
	}

	// Keys are looked up for each task in each pass of the scheduling loop, where the
	// generated methods of a record are several times as expensive.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof TaskKey key && this.index == key.index && this.step == key.step
				&& this.occurrence == key.occurrence && this.job.equals(key.job));
	}

	@Override
	public int hashCode() {
		return ((this.job.hashCode() * PRIME + this.occurrence) * PRIME + this.step) * PRIME + this.index;
	}

	@Override
	public String toString() {
		return this.job + '.' + this.occurrence + '.' + this.step + '.' + this.index;
	}

}
