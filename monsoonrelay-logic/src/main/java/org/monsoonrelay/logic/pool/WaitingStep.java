package org.monsoonrelay.logic.pool;

/**
 * A step whose tasks wait, with what decides where they could be started. Immutable.
 *
 * @param step the step, whose wait has a reason
 * @param tasks number of tasks that wait for workers
 * @param suspectedTasks number of these that are suspected to crash their workers
 * @param matchingWorkers workers that are large enough
 * @param eligibleWorkers workers known to be eligible
 * @param acceptingWorkers eligible workers that accept work
 * @param freeSlots tasks of the step for which these have free capacity
 * @param workersWithRoom accepting workers that have free capacity for a task
 * @param workersWithTicket those of them that need no ticket or have a valid one
 */
record WaitingStep(ActiveStep step, int tasks, int suspectedTasks, int matchingWorkers, int eligibleWorkers,
		int acceptingWorkers, int freeSlots, int workersWithRoom, int workersWithTicket) {

}
