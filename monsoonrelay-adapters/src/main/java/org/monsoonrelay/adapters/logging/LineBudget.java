package org.monsoonrelay.adapters.logging;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.logic.events.Decision;

/**
 * Selects the decisions of a period that are written. Each event has a guaranteed number
 * of lines, so that a flood of one event does not displace the others. The remaining
 * lines are given first to decisions that report a final outcome, then to the others in
 * order. Stateless and thread-safe.
 */
final class LineBudget {

	/** Lines per period that each event may write regardless of the other events. */
	static final int GUARANTEED_LINES_PER_EVENT = 30;

	/** Lines per period; exceeded only by the guaranteed lines of the events. */
	static final int MAX_LINES = 150;

	private LineBudget() {
	}

	/**
	 * Selects the decisions to write.
	 * @param decisions the decisions of a period, in order
	 * @return the indices of the selected decisions
	 */
	static BitSet select(List<Decision> decisions) {
		BitSet selected = new BitSet(decisions.size());
		Map<String, Integer> countByEvent = new HashMap<>();
		List<Integer> outcomes = new ArrayList<>();
		List<Integer> others = new ArrayList<>();
		for (int i = 0; i < decisions.size(); i++) {
			Decision decision = decisions.get(i);
			if (countByEvent.merge(eventName(decision), 1, Integer::sum) <= GUARANTEED_LINES_PER_EVENT) {
				selected.set(i);
			}
			else {
				(decision.reportsFinalOutcome() ? outcomes : others).add(i);
			}
		}
		int remaining = Math.max(0, MAX_LINES - selected.cardinality());
		outcomes.addAll(others);
		outcomes.stream().limit(remaining).forEach(selected::set);
		return selected;
	}

	static String eventName(Decision decision) {
		return decision.getClass().getSimpleName();
	}

}
