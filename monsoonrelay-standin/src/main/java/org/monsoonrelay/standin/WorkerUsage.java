package org.monsoonrelay.standin;

import java.util.List;

/**
 * What a worker says its attempts use, as it was a while ago. Immutable.
 *
 * @param attempts the attempts that ran then
 */
public record WorkerUsage(List<AttemptUsage> attempts) {

	public WorkerUsage {
		attempts = List.copyOf(attempts);
	}

	/**
	 * Use of one attempt. Immutable.
	 *
	 * @param attempt the attempt
	 * @param processorPercent share of its processors that it uses, 0 to 100
	 */
	public record AttemptUsage(String attempt, int processorPercent) {

	}

}
