package org.monsoonrelay.standin;

/**
 * How a worker's stand-in misbehaves. Immutable.
 *
 * @param agentFrozen the agent takes calls and never answers, while its tasks run on
 * @param failsAll every task fails as soon as it starts
 * @param loseAnswers number of further commands that take effect and whose answer is lost
 */
public record WorkerFault(boolean agentFrozen, boolean failsAll, int loseAnswers) {

	/**
	 * No fault.
	 */
	public static final WorkerFault NONE = new WorkerFault(false, false, 0);

}
