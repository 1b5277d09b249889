package org.monsoonrelay.logic.pool;

import java.util.List;

/**
 * A question on eligibility that may or may not be sent. Immutable.
 *
 * @param workers the workers to name, none if there is nothing to ask
 * @param whenSent run once the question goes out, and only then
 */
record QuestionDraft(List<String> workers, Runnable whenSent) {

	/** There is nothing to ask. */
	static final QuestionDraft NONE = naming(List.of());

	static QuestionDraft naming(List<PoolWorker> workers) {
		return naming(workers, () -> {
		});
	}

	static QuestionDraft naming(List<PoolWorker> workers, Runnable whenSent) {
		return new QuestionDraft(workers.stream().map(PoolWorker::id).toList(), whenSent);
	}

}
