package org.monsoonrelay.logic.events;

/**
 * Decisions on a request, a job, a step or a task, which is identified by its id.
 * Immutable.
 */
public sealed interface JobDecision extends Decision {

	/**
	 * A write that this host could not commit to the table was relayed through the pool's
	 * owner.
	 *
	 * @param job the job that the write concerns
	 * @param through address of the owner
	 * @param outcome outcome of the write
	 * @param tookMillis time until the outcome was known
	 */
	record WriteRelayed(String job, String through, String outcome, long tookMillis) implements JobDecision {

	}

	/**
	 * A caller's submission was answered.
	 *
	 * @param job the job
	 * @param queue its queue
	 * @param outcome outcome returned to the caller
	 * @param tookMillis time to the answer
	 * @param configurationVersion version of the configuration that defines the queue
	 * @param configurationAgeMillis time since the table had confirmed that version when
	 * the request was routed
	 */
	record SubmissionAnswered(String job, String queue, String outcome, long tookMillis, long configurationVersion,
			long configurationAgeMillis) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * A caller was told how many jobs wait in a queue, or was refused because the known
	 * number may be outdated.
	 *
	 * @param queue the queue
	 * @param waiting the number of jobs
	 * @param answered whether the caller was told
	 * @param rowVersion version of the owner's write that counted them, 0 if there was
	 * none
	 * @param source how this host received the count
	 * @param ageMillis time within which the jobs were counted, -1 if that is not known
	 * @param receivedMillis time since this host received the count, -1 if there was none
	 * @param copyAgeMillis time since the table had confirmed this host's copy of what
	 * owners write, -1 if it had not yet
	 * @param configurationVersion version of the configuration that defines the queue
	 * @param configurationAgeMillis time since the table had confirmed that version
	 */
	record CountAnswered(String queue, int waiting, boolean answered, long rowVersion, String source, long ageMillis,
			long receivedMillis, long copyAgeMillis, long configurationVersion,
			long configurationAgeMillis) implements JobDecision {

	}

	/**
	 * A caller's request was refused.
	 *
	 * @param request id of the job, or path of the request
	 * @param reason reason for the refusal
	 * @param configurationVersion version of the configuration by which the request was
	 * routed
	 * @param configurationAgeMillis time since the table had confirmed that version when
	 * the request was routed, -1 if there was none
	 */
	record RequestRefused(String request, String reason, long configurationVersion,
			long configurationAgeMillis) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * A caller's cancellation was answered.
	 *
	 * @param job the job
	 * @param outcome outcome returned to the caller
	 * @param tookMillis time to the answer
	 */
	record CancellationAnswered(String job, String outcome, long tookMillis) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * The pool's owner has loaded a job.
	 *
	 * @param job the job
	 * @param queue its queue
	 * @param ageMillis time since it was accepted
	 * @param steps number of steps
	 */
	record JobLearnt(String job, String queue, long ageMillis, int steps) implements JobDecision {

	}

	/**
	 * The table does not accept the progress of a job, alone in a write.
	 *
	 * @param job the job
	 * @param reason the answer of the table
	 * @param row table and key of its largest row
	 * @param bytes size of that row, bytes
	 * @param rejections how often it was rejected
	 * @param outcome {@code HELD_BACK}: no task is started until it is accepted;
	 * {@code GIVEN_UP}: the job ends as failed
	 */
	record ProgressRejected(String job, String reason, String row, long bytes, int rejections,
			String outcome) implements JobDecision {

	}

	/**
	 * A job has ended.
	 *
	 * @param job the job
	 * @param state its final state
	 * @param ageMillis time since it was accepted
	 * @param lateMillis time past its deadline, negative if it ended before the deadline
	 */
	record JobEnded(String job, String state, long ageMillis, long lateMillis) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * An eligibility request for a step was answered.
	 *
	 * @param job the job
	 * @param step the step
	 * @param host the host that sent the request
	 * @param asked number of workers queried
	 * @param allowed number of eligible workers
	 * @param firstAsked number of workers that were queried for the first time
	 * @param rank position of the step in the queue when the request was sent, 0 first
	 * @param queuedMillis time that the request waited for a host with free capacity for
	 * calls
	 * @param tookMillis time to the answer
	 */
	record EligibilityAnswered(String job, String step, String host, int asked, int allowed, int firstAsked, int rank,
			long queuedMillis, long tookMillis) implements JobDecision {

	}

	/**
	 * An eligibility request for a step failed.
	 *
	 * @param job the job
	 * @param step the step
	 * @param host the host that sent the request
	 * @param reason reason for the failure
	 */
	record EligibilityFailed(String job, String step, String host, String reason) implements JobDecision {

	}

	/**
	 * A task was placed and its start request sent.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param workerStartedMillis when the worker's incarnation was started, epoch
	 * milliseconds on its clock, -1 if it does not tell
	 * @param fence the epoch of the owner
	 * @param lookAgeMillis age of the last successful poll of the worker
	 * @param renewalAgeMillis age of the owner's last renewal of the owner record
	 * @param waitedMillis time since the job was accepted
	 */
	record TaskPlaced(String job, String task, int attempt, String worker, long workerStartedMillis, long fence,
			long lookAgeMillis, long renewalAgeMillis, long waitedMillis) implements JobDecision {

	}

	/**
	 * A new owner starts a task of an inherited job for the first time.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param progressVersion version of the progress with which the job was restored, -1
	 * if there was none
	 * @param failures number of failed attempts of the task that are known
	 * @param highestAttempt highest number of an attempt of the step that is known to
	 * have ended
	 * @param doneTasks number of tasks of the step that are known to be done
	 */
	record InheritedTaskStarted(String job, String task, int attempt, long progressVersion, int failures,
			int highestAttempt, int doneTasks) implements JobDecision {

	}

	/**
	 * Progress that a former owner wrote arrives after the new owner has replayed the
	 * jobs.
	 *
	 * @param job the job
	 * @param rowVersion version of the row
	 * @param takeOverVersion version of the row that made this process the owner
	 * @param ageMillis time since the replay
	 * @param state state of the job in the row
	 * @param doneTasks number of tasks that were not known to be done
	 * @param failures number of failed attempts that were not known
	 */
	record ProgressDeliveredLate(String job, long rowVersion, long takeOverVersion, long ageMillis, String state,
			int doneTasks, int failures) implements JobDecision {

	}

	/**
	 * A start request was not carried out, or was not answered.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param workerStartedMillis when the incarnation was started to which the request
	 * was sent, epoch milliseconds on its clock, -1 if it does not tell
	 * @param outcome outcome that the worker returned
	 * @param requests number of start requests sent so far for the attempt
	 * @param ageMillis time since the first of them was sent
	 */
	record StartFailed(String job, String task, int attempt, String worker, long workerStartedMillis, String outcome,
			int requests, long ageMillis) implements JobDecision {

	}

	/**
	 * A run is confirmed whose start request was not answered in time.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param workerStartedMillis when the incarnation was started on which the run is
	 * active, epoch milliseconds on its clock, -1 if it does not tell
	 * @param ageMillis time since the first request was sent
	 */
	record StartConfirmedLate(String job, String task, int attempt, String worker, long workerStartedMillis,
			long ageMillis) implements JobDecision {

	}

	/**
	 * A worker reports an active run of a task that is not waiting for its report: a
	 * start request was executed late, possibly by a later incarnation, or an earlier
	 * owner started the run as part of a gang that has ended.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param workerStartedMillis when the incarnation that reports the run was started,
	 * epoch milliseconds on its clock, -1 if it does not tell
	 * @param taskStatus what the owner knows of the task
	 * @param adopted whether the run goes on; it is stopped otherwise
	 */
	record UnexpectedRun(String job, String task, int attempt, String worker, long workerStartedMillis,
			String taskStatus, boolean adopted) implements JobDecision {

	}

	/**
	 * A run was requested to stop.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param reason reason for the stop
	 */
	record TaskStopped(String job, String task, int attempt, String worker, String reason) implements JobDecision {

	}

	/**
	 * A worker reported that a run has ended.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param sequence sequence number of the end within the incarnation of the worker
	 * @param end how the run ended
	 * @param ranMillis time since the start request was sent, -1 if another owner sent it
	 */
	record TaskEnded(String job, String task, int attempt, String worker, long sequence, String end,
			long ranMillis) implements JobDecision {

	}

	/**
	 * A run was lost together with its worker.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param cause kind of the evidence that the run was lost
	 * @param reason the evidence in words
	 * @param crash how certain it is that the worker crashed while the task was active
	 * @param confirmed whether the worker had confirmed the start
	 * @param ranMillis time from the start request until the worker stopped answering; of
	 * a run that another owner started, the time since it was adopted
	 * @param otherRuns number of other runs that may have been active on the worker
	 */
	record TaskLost(String job, String task, int attempt, String worker, String cause, String reason, String crash,
			boolean confirmed, long ranMillis, int otherRuns) implements JobDecision {

	}

	/**
	 * A task whose run was lost is not started again for now: the owner's lease has
	 * expired, so that a successor may have kept the run active or read its end.
	 *
	 * @param job the job
	 * @param task the task
	 * @param renewalAgeMillis age of the owner's last renewal of the owner record
	 */
	record TaskHeldBack(String job, String task, long renewalAgeMillis) implements JobDecision {

	}

	/**
	 * A start was given up although its request may still be executed, by a later
	 * incarnation of the worker: the task is not started again until the run is reported
	 * or the request counts as lost.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker, empty if an earlier owner sent the request
	 * @param ageMillis age of the request, at least
	 * @param lostAfterMillis age from which on the request counts as lost
	 */
	record StartUnresolved(String job, String task, int attempt, String worker, long ageMillis,
			long lostAfterMillis) implements JobDecision {

	}

	/**
	 * Tasks of a step have not been started for a while although all steps that it
	 * depends on are complete.
	 *
	 * @param job the job
	 * @param step {@code occurrence.step}
	 * @param reason what keeps the tasks waiting
	 * @param reasonMillis for how long that has been the reason
	 * @param waitedMillis time since the tasks are ready, or since the last start of a
	 * task of the step under this owner
	 * @param tasks number of tasks that wait for workers, 0 if none may be started at all
	 * @param suspectedTasks number of these that are suspected to crash their workers
	 * @param running number of active runs of the step
	 * @param matchingWorkers workers that are large enough
	 * @param eligibleWorkers workers known to be eligible
	 * @param acceptingWorkers eligible workers that accept work
	 * @param freeSlots tasks of the step for which these have free capacity
	 * @param workersWithRoom number of these that have free capacity for a task
	 * @param workersWithTicket number of those whose tickets are valid
	 */
	record StepWaiting(String job, String step, String reason, long reasonMillis, long waitedMillis, int tasks,
			int suspectedTasks, int running, int matchingWorkers, int eligibleWorkers, int acceptingWorkers,
			int freeSlots, int workersWithRoom, int workersWithTicket) implements JobDecision {

	}

	/**
	 * A task is not started again, because workers crashed while it was active on them.
	 * Its job has failed.
	 *
	 * @param job the job
	 * @param task the task
	 * @param confirmedCrashes number of workers that crashed under it
	 * @param possibleCrashes number of workers that may have crashed under it
	 */
	record TaskGivenUp(String job, String task, int confirmedCrashes, int possibleCrashes) implements JobDecision {

		@Override
		public boolean reportsFinalOutcome() {
			return true;
		}

	}

	/**
	 * A worker is asked to change the speed of a run that uses idle processors.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param percent percentage of full speed
	 * @param formerPercent percentage wanted before
	 * @param reason reason for the change
	 * @param servingTask the task whose latency decides, empty if there is none
	 * @param tailMillis its tail latency as last reported, -1 if not known
	 * @param targetMillis its target
	 */
	record TaskPaced(String job, String task, int attempt, String worker, int percent, int formerPercent, String reason,
			String servingTask, long tailMillis, long targetMillis) implements JobDecision {

	}

	/**
	 * A worker did not carry out, or did not answer, a change of a run's speed. It is
	 * asked again if its reports show that nothing has changed.
	 *
	 * @param job the job
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param percent the requested percentage of full speed
	 * @param outcome outcome that the worker returned
	 */
	record PaceFailed(String job, String task, int attempt, String worker, int percent,
			String outcome) implements JobDecision {

	}

}
