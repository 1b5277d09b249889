package org.monsoonrelay.logic.pool;

import java.util.concurrent.ScheduledExecutorService;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.UnreadableRows;

/**
 * What the owner of a pool needs from outside.
 *
 * @param table the platform's table
 * @param orders orders to workers
 * @param eligibility tells which workers may run a step
 * @param control the control thread
 * @param clock the clocks
 * @param log takes decisions
 * @param unreadable takes note of rows that cannot be read
 */
public record PoolDependencies(PartitionedTable table, WorkerClient orders, EligibilityClient eligibility,
		ScheduledExecutorService control, PoolClock clock, DecisionLog log, UnreadableRows unreadable) {

}
