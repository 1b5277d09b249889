package org.monsoonrelay.logic.pool;

import java.util.concurrent.ScheduledExecutorService;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.interference.InterferenceSettings;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.rows.ProgressRow;

/**
 * The services that an owner of the pool depends on. Immutable.
 *
 * @param table the platform's table
 * @param workerClient client for requests to workers
 * @param eligibility determines which workers may run a step
 * @param control executor of the control thread
 * @param clock the clocks
 * @param log the decision log
 * @param unreadable records rows that cannot be read
 * @param interference how interference between tasks is handled
 * @param maxRowBytes maximum size of the value of a row of the table, bytes
 */
public record PoolDependencies(PartitionedTable table, WorkerClient workerClient, EligibilityClient eligibility,
		ScheduledExecutorService control, PoolClock clock, DecisionLog log, UnreadableRows unreadable,
		InterferenceSettings interference, int maxRowBytes) {

	/**
	 * Creates the services of a deployment that names neither settings of interference
	 * nor the size of a row.
	 * @param table the platform's table
	 * @param workerClient client for requests to workers
	 * @param eligibility determines which workers may run a step
	 * @param control executor of the control thread
	 * @param clock the clocks
	 * @param log the decision log
	 * @param unreadable records rows that cannot be read
	 */
	public PoolDependencies(PartitionedTable table, WorkerClient workerClient, EligibilityClient eligibility,
			ScheduledExecutorService control, PoolClock clock, DecisionLog log, UnreadableRows unreadable) {
		this(table, workerClient, eligibility, control, clock, log, unreadable, InterferenceSettings.DEFAULT,
				ProgressRow.DEFAULT_MAX_BYTES);
	}

}
