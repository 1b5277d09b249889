package org.monsoonrelay.adapters.logging;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.logic.events.Decision;

/**
 * Chooses which decisions of a period are written. Each event has a share of its own, so
 * that a flood of one hides no other; what the events leave of the whole goes to those
 * that tell an outcome, then to the rest in order. Stateless and thread-safe.
 */
final class LineBudget {

	/** Lines that an event may write in a period whatever the others do. */
	static final int GUARANTEED_LINES_PER_EVENT = 30;

	/** Lines in a period; more only where each event is within its own share. */
	static final int MAX_LINES = 150;

	private LineBudget() {
	}

	/**
	 * Choose.
	 * @param decisions the decisions of a period, in order
	 * @return the places of those to write
	 */
	static BitSet select(List<Decision> decisions) {
		BitSet chosen = new BitSet(decisions.size());
		Map<String, Integer> written = new HashMap<>();
		List<Integer> outcomes = new ArrayList<>();
		List<Integer> rest = new ArrayList<>();
		for (int i = 0; i < decisions.size(); i++) {
			Decision decision = decisions.get(i);
			if (written.merge(eventName(decision), 1, Integer::sum) <= GUARANTEED_LINES_PER_EVENT) {
				chosen.set(i);
			}
			else {
				(decision.reportsFinalOutcome() ? outcomes : rest).add(i);
			}
		}
		int left = Math.max(0, MAX_LINES - chosen.cardinality());
		outcomes.addAll(rest);
		outcomes.stream().limit(left).forEach(chosen::set);
		return chosen;
	}

	static String eventName(Decision decision) {
		return decision.getClass().getSimpleName();
	}

}
