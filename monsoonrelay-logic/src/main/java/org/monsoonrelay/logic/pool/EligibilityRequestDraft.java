package org.monsoonrelay.logic.pool;

import java.util.List;

/**
 * The content of an eligibility request that may or may not be sent. Immutable.
 *
 * @param workers ids of the workers to query, empty if no request is needed
 * @param onSent run when the request is sent, and only then
 */
record EligibilityRequestDraft(List<String> workers, Runnable onSent) {

	/** No request is needed. */
	static final EligibilityRequestDraft EMPTY = of(List.of());

	static EligibilityRequestDraft of(List<PoolWorker> workers) {
		return of(workers, () -> {
		});
	}

	static EligibilityRequestDraft of(List<PoolWorker> workers, Runnable whenSent) {
		return new EligibilityRequestDraft(workers.stream().map(PoolWorker::id).toList(), whenSent);
	}

}
