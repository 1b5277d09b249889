package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.submission.StepKey;

/**
 * Calls the eligibility service, which decides which workers may run a step.
 * Implementations are thread-safe.
 */
public interface EligibilityClient {

	/**
	 * Requests tickets for the workers that may run a step.
	 * @param host the host of this system that makes the call
	 * @param step the step
	 * @param workers ids of the workers to query, at most 100
	 * @param timeout how long to wait for the reply
	 * @return tickets of the eligible workers by worker id; completes exceptionally if
	 * there was no reply
	 */
	CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> workers,
			Duration timeout);

}
