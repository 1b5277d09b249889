package org.monsoonrelay.logic.events;

/**
 * A decision or a change of belief, with the inputs that led to it. The name of the
 * record is the name of the event. Ages are in milliseconds. Immutable.
 */
public sealed interface Decision {

	/**
	 * Whether this tells what became of a job or a request in the end, which no other
	 * line does.
	 * @return {@code true} if it has to be kept before others
	 */
	default boolean concludes() {
		return false;
	}

	/**
	 * A process has begun to serve.
	 *
	 * @param role its role
	 * @param host its host
	 * @param failureDomain where it stands
	 * @param sinceLaunchMillis time since the process was launched
	 */
	record ProcessStarted(String role, String host, String failureDomain, long sinceLaunchMillis) implements Decision {

	}

	/**
	 * A process was told to stop.
	 *
	 * @param role its role
	 * @param inFlight exchanges in flight
	 */
	record ProcessStopping(String role, int inFlight) implements Decision {

	}

	/**
	 * A process has stopped.
	 *
	 * @param role its role
	 * @param drainMillis how long that took
	 */
	record ProcessStopped(String role, long drainMillis) implements Decision {

	}

	/**
	 * A new owner knows what runs on every worker that an earlier owner used, or that
	 * nothing can run there any more: it may start tasks that the earlier one knew.
	 *
	 * @param epoch its fencing token
	 * @param workers how many workers the earlier owner may have used
	 * @param tookMillis time since it owns the pool
	 */
	record WorkersAccounted(long epoch, int workers, long tookMillis) implements Decision {

	}

	/**
	 * A write that the table did not take from this host was tried through the owner of
	 * the pool.
	 *
	 * @param job the job that it is about
	 * @param through where the owner listens
	 * @param outcome what became of it
	 * @param tookMillis how long that took
	 */
	record WriteRelayed(String job, String through, String outcome, long tookMillis) implements Decision {

	}

	/**
	 * The settings were read again.
	 *
	 * @param role the process's role
	 * @param outcome what came of it
	 */
	record SettingsReloaded(String role, String outcome) implements Decision {

	}

	/**
	 * A dependency does not answer any more.
	 *
	 * @param dependency what
	 * @param reason the first failure
	 */
	record DependencyLost(String dependency, String reason) implements Decision {

	}

	/**
	 * A dependency answers again.
	 *
	 * @param dependency what
	 * @param outageMillis how long it did not
	 */
	record DependencyBack(String dependency, long outageMillis) implements Decision {

	}

	/**
	 * A row of the table cannot be read and is left out. Written once until it can be
	 * read again or the reason changes.
	 *
	 * @param table its table
	 * @param key its key
	 * @param reason why
	 */
	record RowUnreadable(String table, String key, String reason) implements Decision {

	}

	/**
	 * A configuration is in force.
	 *
	 * @param version its version
	 * @param previousVersion the one before
	 * @param queues number of queues
	 */
	record ConfigurationInForce(long version, long previousVersion, int queues) implements Decision {

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
			long configurationVersion) implements Decision {

		@Override
		public boolean concludes() {
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
	record RequestRefused(String request, String reason, long configurationVersion) implements Decision {

		@Override
		public boolean concludes() {
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
	record CancellationAnswered(String job, String outcome, long tookMillis) implements Decision {

		@Override
		public boolean concludes() {
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
	record JobLearnt(String job, String queue, long ageMillis, int steps) implements Decision {

	}

	/**
	 * A job has ended.
	 *
	 * @param job the job
	 * @param state its final state
	 * @param ageMillis time since it was accepted
	 * @param lateMillis time past its deadline, negative if early
	 */
	record JobEnded(String job, String state, long ageMillis, long lateMillis) implements Decision {

		@Override
		public boolean concludes() {
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
			long queuedMillis, long tookMillis) implements Decision {

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
			long longestTurnMillis) implements Decision {

	}

	/**
	 * It could not be found out which workers may run a step.
	 *
	 * @param job the job
	 * @param step the step
	 * @param host the host that asked
	 * @param reason what happened
	 */
	record EligibilityFailed(String job, String step, String host, String reason) implements Decision {

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
			long waitedMillis) implements Decision {

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
	record StartFailed(String job, String task, int attempt, String worker, String outcome) implements Decision {

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
	record TaskStopped(String job, String task, int attempt, String worker, String reason) implements Decision {

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
			long ranMillis) implements Decision {

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
	record TaskLost(String job, String task, int attempt, String worker, String reason) implements Decision {

	}

	/**
	 * A worker may get work.
	 *
	 * @param worker the worker
	 * @param running tasks that run there
	 */
	record WorkerReached(String worker, int running) implements Decision {

	}

	/**
	 * A worker does not answer and gets no work.
	 *
	 * @param worker the worker
	 * @param reason the failure
	 * @param running tasks that may run there
	 */
	record WorkerSilent(String worker, String reason, int running) implements Decision {

	}

	/**
	 * Nothing runs on a worker any more.
	 *
	 * @param worker the worker
	 * @param reason how that is known
	 * @param lost runs that were lost
	 */
	record WorkerLost(String worker, String reason, int lost) implements Decision {

	}

	/**
	 * A worker gets no work for a while because runs fail there.
	 *
	 * @param worker the worker
	 * @param failuresInRow failed runs in a row
	 * @param untilMillis for how long
	 */
	record WorkerAvoided(String worker, int failuresInRow, long untilMillis) implements Decision {

	}

	/**
	 * This process owns the pool now.
	 *
	 * @param epoch the fencing token
	 * @param previousHolder who owned it before
	 * @param reason why it was free
	 */
	record OwnershipTaken(long epoch, String previousHolder, String reason) implements Decision {

	}

	/**
	 * The owner has loaded the jobs and begins to place.
	 *
	 * @param epoch the fencing token
	 * @param jobs number of jobs that have not ended
	 * @param tookMillis time since it became the owner
	 */
	record OwnershipSettled(long epoch, int jobs, long tookMillis) implements Decision {

	}

	/**
	 * This process owns the pool no more.
	 *
	 * @param epoch the fencing token it had
	 * @param reason why
	 */
	record OwnershipLost(long epoch, String reason) implements Decision {

	}

}
