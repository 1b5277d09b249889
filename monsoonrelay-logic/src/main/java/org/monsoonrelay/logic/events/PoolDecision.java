package org.monsoonrelay.logic.events;

/**
 * Decisions of an owner on its pool: who owns it, how full it is, which workers it
 * believes in. Immutable.
 */
public sealed interface PoolDecision extends Decision {

	/**
	 * A new owner knows what runs on every worker that an earlier owner used, or that
	 * nothing can run there any more: it may start tasks that the earlier one knew.
	 *
	 * @param epoch its fencing token
	 * @param workers how many workers the earlier owner may have used
	 * @param tookMillis time since it owns the pool
	 */
	record WorkersAccounted(long epoch, int workers, long tookMillis) implements PoolDecision {

	}

	/**
	 * What an owner's pool looks like, told once a second.
	 *
	 * @param epoch the fencing token
	 * @param workers workers that take new work
	 * @param capacity their size, thousandths of a processor
	 * @param committed what runs on them or is being stopped, thousandths of a processor
	 * @param held what is kept for gangs that wait for an answer, thousandths of a
	 * processor
	 * @param stepsWaiting steps with tasks that may be started
	 * @param tasksWaiting those tasks
	 * @param questionsSent questions on eligibility that wait for an answer
	 * @param questionsQueued questions that wait for a host that has time
	 * @param turns turns of the owner since the last line
	 * @param turnMillis what they took
	 * @param longestTurnMillis the longest of them
	 */
	record PoolLoad(long epoch, int workers, long capacity, long committed, long held, int stepsWaiting,
			int tasksWaiting, int questionsSent, int questionsQueued, int turns, long turnMillis,
			long longestTurnMillis) implements PoolDecision {

	}

	/**
	 * A worker may get work.
	 *
	 * @param worker the worker
	 * @param running tasks that run there
	 */
	record WorkerReached(String worker, int running) implements PoolDecision {

	}

	/**
	 * A worker does not answer and gets no work.
	 *
	 * @param worker the worker
	 * @param reason the failure
	 * @param running tasks that may run there
	 */
	record WorkerSilent(String worker, String reason, int running) implements PoolDecision {

	}

	/**
	 * Nothing runs on a worker any more.
	 *
	 * @param worker the worker
	 * @param reason how that is known
	 * @param lost runs that were lost
	 */
	record WorkerLost(String worker, String reason, int lost) implements PoolDecision {

	}

	/**
	 * A worker gets no work for a while because runs fail there.
	 *
	 * @param worker the worker
	 * @param failuresInRow failed runs in a row
	 * @param untilMillis for how long
	 */
	record WorkerAvoided(String worker, int failuresInRow, long untilMillis) implements PoolDecision {

	}

	/**
	 * This process owns the pool now.
	 *
	 * @param epoch the fencing token
	 * @param previousHolder who owned it before
	 * @param reason why it was free
	 */
	record OwnershipTaken(long epoch, String previousHolder, String reason) implements PoolDecision {

	}

	/**
	 * The owner has loaded the jobs and begins to place.
	 *
	 * @param epoch the fencing token
	 * @param jobs number of jobs that have not ended
	 * @param tookMillis time since it became the owner
	 */
	record OwnershipSettled(long epoch, int jobs, long tookMillis) implements PoolDecision {

	}

	/**
	 * This process owns the pool no more.
	 *
	 * @param epoch the fencing token it had
	 * @param reason why
	 */
	record OwnershipLost(long epoch, String reason) implements PoolDecision {

	}

}
