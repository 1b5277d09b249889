package org.monsoonrelay.logic.rack;

import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.host.Host;

/**
 * Client for the agents that run on worker hosts. Implementations are thread-safe.
 */
public interface WorkerAgents {

	/**
	 * Send a command to a worker.
	 * @param worker the host of the worker
	 * @param command the command
	 * @return the worker's report; completes exceptionally if no response arrived, in
	 * which case the command may have taken effect
	 */
	CompletableFuture<WorkerReport> send(Host worker, WorkerCommand command);

}
