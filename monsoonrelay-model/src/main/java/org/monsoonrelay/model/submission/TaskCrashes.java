package org.monsoonrelay.model.submission;

/**
 * The workers that crashed while a task was active on them, and whether the task may have
 * been started since. Immutable.
 *
 * @param confirmed number of workers with evidence {@link CrashEvidence#CONFIRMED}
 * @param possible number of workers with evidence {@link CrashEvidence#POSSIBLE}
 * @param startRecorded whether a start is recorded since the last counted crash;
 * {@code false} in records of earlier releases
 */
public record TaskCrashes(int confirmed, int possible, boolean startRecorded) {

	/** Of a task under which no worker has crashed. */
	public static final TaskCrashes NONE = new TaskCrashes(0, 0);

	/** Of a task of which only a start is recorded. */
	static final TaskCrashes ONLY_STARTED = new TaskCrashes(0, 0, true);

	private static final int LIMIT = 3;

	private static final int ISOLATION_THRESHOLD = 2;

	public TaskCrashes {
		if (confirmed < 0 || possible < 0) {
			throw new IllegalArgumentException("not numbers of crashes: " + confirmed + ", " + possible);
		}
	}

	public TaskCrashes(int confirmed, int possible) {
		this(confirmed, possible, false);
	}

	TaskCrashes started() {
		return new TaskCrashes(this.confirmed, this.possible, true);
	}

	TaskCrashes plus(CrashEvidence evidence) {
		return switch (evidence) {
			case NONE -> this;
			case POSSIBLE -> new TaskCrashes(this.confirmed, this.possible + 1);
			case CONFIRMED -> new TaskCrashes(this.confirmed + 1, this.possible);
		};
	}

	TaskCrashes join(TaskCrashes other) {
		return new TaskCrashes(Math.max(this.confirmed, other.confirmed), Math.max(this.possible, other.possible),
				this.startRecorded || other.startRecorded);
	}

	TaskCrashes withoutPossible() {
		return new TaskCrashes(this.confirmed, Math.max(0, this.possible - 1), this.startRecorded);
	}

	/**
	 * Returns how strongly the task is suspected. One possible crash is disregarded,
	 * since a power loss or a network partition affects every task once. Possible crashes
	 * alone do not isolate a task: after repeated power losses that would slow down most
	 * jobs.
	 * @return the suspicion
	 */
	public CrashSuspicion suspicion() {
		long counted = (long) this.confirmed + Math.max(0, this.possible - 1);
		if (counted >= LIMIT) {
			return CrashSuspicion.GIVEN_UP;
		}
		if (counted >= ISOLATION_THRESHOLD && this.confirmed > 0) {
			return CrashSuspicion.ISOLATED;
		}
		return (counted > 0) ? CrashSuspicion.SUSPECTED : CrashSuspicion.NONE;
	}

}
