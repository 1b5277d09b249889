package org.monsoonrelay.logic.events;

/**
 * Decisions on a request, a job, a step or a task, each named by its id. Immutable.
 */
public sealed interface JobDecision extends Decision {

	/**
	 * A write that the table did not take from this host was tried through the owner of
	 * the pool.
	 *
	 * @param job the job that it is about
	 * @param through where the owner listens
	 * @param outcome what became of it
	 * @param tookMillis how long that took
	 */
	record WriteRelayed(String job, String through, String outcome, long tookMillis) implements JobDecision {

	}

	/**
	 * A caller's submission was answered.
	 *
	 * @param job the job
	 * @param queue its queue
	 * @param outcome what the caller was told
	 * @param tookMillis time to the answer
	 * @param configurationVersion version that named the queue
	 */
	record SubmissionAnswered(String job, String queue, String outcome, long tookMillis,
			long configurationVersion) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * A caller's request was refused.
	 *
	 * @param request the job or path
	 * @param reason why
	 * @param configurationVersion version in force
	 */
	record RequestRefused(String request, String reason, long configurationVersion) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * A caller's cancellation was answered.
	 *
	 * @param job the job
	 * @param outcome what the caller was told
	 * @param tookMillis time to the answer
	 */
	record CancellationAnswered(String job, String outcome, long tookMillis) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * The owner has learnt of a job.
	 *
	 * @param job the job
	 * @param queue its queue
	 * @param ageMillis time since it was accepted
	 * @param steps number of steps
	 */
	record JobLearnt(String job, String queue, long ageMillis, int steps) implements JobDecision {

	}

	/**
	 * A job has ended.
	 *
	 * @param job the job
	 * @param state its final state
	 * @param ageMillis time since it was accepted
	 * @param lateMillis time past its deadline, negative if early
	 */
	record JobEnded(String job, String state, long ageMillis, long lateMillis) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * It is known which workers may run a step.
	 *
	 * @param job the job
	 * @param step the step
	 * @param host the host that asked
	 * @param asked number of workers asked about
	 * @param allowed number of workers allowed
	 * @param firstAsked how many of the workers had not been asked about before
	 * @param rank place of the step in the order of the queue when it was sent, 0 first
	 * @param queuedMillis how long the question waited for a host that had time
	 * @param tookMillis time to the answer
	 */
	record EligibilityAnswered(String job, String step, String host, int asked, int allowed, int firstAsked, int rank,
			long queuedMillis, long tookMillis) implements JobDecision {

	}

	/**
	 * It could not be found out which workers may run a step.
	 *
	 * @param job the job
	 * @param step the step
	 * @param host the host that asked
	 * @param reason what happened
	 */
	record EligibilityFailed(String job, String step, String host, String reason) implements JobDecision {

	}

	/**
	 * A task was placed and its start sent.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param fence the fencing token
	 * @param lookAgeMillis age of what is known of the worker
	 * @param waitedMillis time since the job was accepted
	 */
	record TaskPlaced(String job, String task, int attempt, String worker, long fence, long lookAgeMillis,
			long waitedMillis) implements JobDecision {

	}

	/**
	 * A start was not carried out, or its answer is missing.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param outcome what the worker said
	 */
	record StartFailed(String job, String task, int attempt, String worker, String outcome) implements JobDecision {

	}

	/**
	 * A task was told to stop.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param reason why
	 */
	record TaskStopped(String job, String task, int attempt, String worker, String reason) implements JobDecision {

	}

	/**
	 * A run has ended by the worker's word.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param end how it ended
	 * @param ranMillis time since the start was sent, -1 if another owner sent it
	 */
	record TaskEnded(String job, String task, int attempt, String worker, String end,
			long ranMillis) implements JobDecision {

	}

	/**
	 * A run counts as lost with its worker.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param reason how that is known
	 */
	record TaskLost(String job, String task, int attempt, String worker, String reason) implements JobDecision {

	}

}
