package org.monsoonrelay.logic.pool;

import java.util.concurrent.ScheduledExecutorService;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.PartitionedTable;

/**
 * What the owner of a pool needs from outside.
 *
 * @param table the platform's table
 * @param orders orders to workers
 * @param eligibility tells which workers may run a step
 * @param control the control thread
 * @param clock the clocks
 * @param log takes decisions
 */
public record PoolPorts(PartitionedTable table, WorkerOrders orders, EligibilitySource eligibility,
		ScheduledExecutorService control, PoolClock clock, DecisionLog log) {

}
