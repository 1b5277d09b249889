package org.monsoonrelay.logic.pool;

import java.util.List;

/**
 * A question on eligibility that may or may not be sent. Immutable.
 *
 * @param workers the workers to name, none if there is nothing to ask
 * @param whenSent run once the question goes out, and only then
 */
record EligibilityRequestDraft(List<String> workers, Runnable onSent) {

	/** There is nothing to ask. */
	static final EligibilityRequestDraft EMPTY = of(List.of());

	static EligibilityRequestDraft of(List<PoolWorker> workers) {
		return of(workers, () -> {
		});
	}

	static EligibilityRequestDraft of(List<PoolWorker> workers, Runnable whenSent) {
		return new EligibilityRequestDraft(workers.stream().map(PoolWorker::id).toList(), whenSent);
	}

}
