package org.monsoonrelay.logic.pool;

import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Orders to workers. Futures never fail: a call without a usable answer says so in its
 * outcome. Implementations are thread-safe.
 */
public interface WorkerClient {

	/**
	 * Look at a worker.
	 * @param worker the worker
	 * @param order what to tell it
	 * @return what it told
	 */
	CompletableFuture<PollOutcome> poll(WorkerInfo worker, PollRequest order);

	/**
	 * Start a run. Repeating an order is harmless.
	 * @param worker the worker
	 * @param order what to start
	 * @return what came of it
	 */
	CompletableFuture<RunRequestOutcome> start(WorkerInfo worker, RunStartRequest order);

	/**
	 * Stop a run, or keep it from starting if it is not there yet.
	 * @param worker the worker
	 * @param task the task
	 * @param attempt the attempt
	 * @param fence the owner's fencing token
	 * @return what came of it
	 */
	CompletableFuture<RunRequestOutcome> stop(WorkerInfo worker, TaskKey task, int attempt, long fence);

}
