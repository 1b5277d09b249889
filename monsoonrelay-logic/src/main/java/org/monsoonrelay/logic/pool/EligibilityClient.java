package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.submission.StepKey;

/**
 * Tells which workers may run a step. Implementations are thread-safe.
 */
public interface EligibilityClient {

	/**
	 * Ask about workers.
	 * @param host the host of this system that makes the call
	 * @param step the step
	 * @param workers ids of the workers, at most 100
	 * @param timeout how long to wait for the answer
	 * @return tickets by worker for those that are allowed; fails if no answer came
	 */
	CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> workers,
			Duration timeout);

}
