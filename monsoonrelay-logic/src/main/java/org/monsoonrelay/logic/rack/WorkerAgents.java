package org.monsoonrelay.logic.rack;

import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.host.Host;

/**
 * Port to the workers. Implementations are safe for use by several threads.
 */
public interface WorkerAgents {

	/**
	 * Send a command.
	 * @param worker the worker
	 * @param command the command
	 * @return the worker's report; fails if no answer came, in which case the command may
	 * have taken effect
	 */
	CompletableFuture<WorkerReport> send(Host worker, WorkerCommand command);

}
