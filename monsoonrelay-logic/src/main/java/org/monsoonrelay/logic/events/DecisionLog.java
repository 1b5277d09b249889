package org.monsoonrelay.logic.events;

/**
 * Takes a line for each decision. Implementations are thread-safe, never block and may
 * leave lines out under load, counting them.
 */
public interface DecisionLog {

	/** Keeps nothing. */
	DecisionLog NONE = (decision) -> {
	};

	/**
	 * Write a decision.
	 * @param decision the decision with its inputs
	 */
	void write(Decision decision);

}
