package org.monsoonrelay.logic.pool;

import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Sends requests to workers. The returned futures never complete exceptionally: an
 * outcome also reports a missing or unusable response. Implementations are thread-safe.
 */
public interface WorkerClient {

	/**
	 * Polls a worker for its active runs and terminations.
	 * @param worker the worker
	 * @param request the poll request
	 * @return the outcome of the poll
	 */
	CompletableFuture<PollOutcome> poll(WorkerInfo worker, PollRequest request);

	/**
	 * Starts a run. The request is idempotent.
	 * @param worker the worker
	 * @param request the run to start
	 * @return the outcome of the request
	 */
	CompletableFuture<RunRequestOutcome> start(WorkerInfo worker, RunStartRequest request);

	/**
	 * Stops a run, or prevents its start if the worker has not started it yet.
	 * @param worker the worker
	 * @param task the task
	 * @param attempt the attempt number
	 * @param fencingToken the owner's fencing token
	 * @return the outcome of the request
	 */
	CompletableFuture<RunRequestOutcome> stop(WorkerInfo worker, TaskKey task, int attempt, long fencingToken);

	/**
	 * Changes the speed of a run. The request is idempotent; one that is not answered may
	 * be executed after later ones.
	 * @param worker the worker
	 * @param task the task
	 * @param attempt the attempt number
	 * @param percent percentage of full speed, 0 to 100
	 * @param fencingToken the owner's fencing token
	 * @return the outcome of the request
	 */
	CompletableFuture<RunRequestOutcome> pace(WorkerInfo worker, TaskKey task, int attempt, int percent,
			long fencingToken);

}
