package org.monsoonrelay.logic.events;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decisions of a pool's owner: ownership of the pool, its load, and the state of its
 * workers. Immutable.
 */
public sealed interface PoolDecision extends Decision {

	/**
	 * The recovery of a new owner is complete: for every worker that an earlier owner may
	 * have used, it knows what runs there, or that nothing can run there any more, or
	 * holds back the tasks of which the worker may not have listed the ends yet. From now
	 * on it may start the other tasks that the earlier owner may have started.
	 *
	 * @param epoch the owner's fencing token
	 * @param workers number of workers that the earlier owner may have used
	 * @param tookMillis time since the owner acquired the pool
	 */
	record WorkersAccounted(long epoch, int workers, long tookMillis) implements PoolDecision {

	}

	/**
	 * Rows that have to be written cannot be composed. No end is acknowledged until they
	 * are written.
	 *
	 * @param epoch the owner's fencing token
	 * @param job the job whose rows they are, empty for those of the owner
	 * @param failure what failed
	 */
	record WriteNotComposed(long epoch, String job, String failure) implements PoolDecision {

	}

	/**
	 * The table refused a write of the owner.
	 *
	 * @param epoch the owner's fencing token
	 * @param outcome {@code REFUSED} if the same write is repeated, {@code REJECTED} if
	 * its content is not accepted and its rows are written in smaller groups
	 * @param reason the answer of the table
	 * @param jobs number of jobs whose rows it contained
	 * @param rows number of rows
	 * @param bytes size of all rows, bytes
	 * @param largestRow table and key of the largest row
	 * @param largestBytes size of that row, bytes
	 */
	record WriteRefused(long epoch, String outcome, String reason, int jobs, int rows, long bytes, String largestRow,
			long largestBytes) implements PoolDecision {

	}

	/**
	 * It is known what became of a write of the owner, of which not every attempt was
	 * answered or which another write replaced.
	 *
	 * @param epoch the owner's fencing token
	 * @param write number of the write in this term, as in the owner's row
	 * @param outcome {@code COMMITTED} by an attempt that was answered, {@code FOUND} in
	 * the table by its number, {@code UNDONE} as another write took effect, or
	 * {@code UNKNOWN} as another process took the pool over
	 * @param attemptCount number of attempts before, which were refused or not answered
	 * @param attempts what became of the first of them
	 * @param jobs number of jobs whose rows it contained
	 * @param ageMillis time since it was composed
	 * @param rowVersion version of the owner's row that shows it
	 */
	record WriteSettled(long epoch, long write, String outcome, int attemptCount, List<String> attempts, int jobs,
			long ageMillis, long rowVersion) implements PoolDecision {

		public WriteSettled {
			attempts = List.copyOf(attempts);
		}

	}

	/**
	 * A new owner begins to find out what runs on the workers of the former one.
	 *
	 * @param epoch the owner's fencing token
	 * @param workers number of workers on which any task may run
	 * @param closedWorkers number of workers on which only tasks may run that the former
	 * owner has recorded
	 * @param closedTasks number of those tasks
	 * @param maxWaitMillis time after which nothing can run any more on workers that have
	 * not reported
	 */
	record RecoveryStarted(long epoch, int workers, int closedWorkers, int closedTasks,
			long maxWaitMillis) implements PoolDecision {

	}

	/**
	 * A new owner has read the progress that former owners wrote and replays all jobs
	 * with it.
	 *
	 * @param epoch the owner's fencing token
	 * @param replacedVersion version of the replaced row of the owner, 0 if there was
	 * none
	 * @param takeOverVersion version of the row that replaced it
	 * @param progressVersion version up to which the progress was read
	 * @param rows number of changed rows that were read after the take-over
	 * @param answers number of answers that held them
	 * @param unfinishedJobs number of known jobs that have not ended
	 * @param endedJobs number of known jobs that have ended
	 * @param tookMillis time since the owner acquired the pool
	 */
	record ProgressLoaded(long epoch, long replacedVersion, long takeOverVersion, long progressVersion, int rows,
			int answers, int missedRows, int unfinishedJobs, int endedJobs, long tookMillis) implements PoolDecision {

	}

	/**
	 * Nothing can run any more on a worker of a former owner that has not reported to
	 * this one.
	 *
	 * @param worker the worker
	 * @param anyTask whether any task may have run there
	 * @param tasks the tasks that may have run there otherwise, separated by blanks
	 */
	record InheritedWorkerLost(String worker, boolean anyTask, String tasks) implements PoolDecision {

	}

	/**
	 * A worker of a former owner answers, but has not listed the ends of all its runs
	 * when the leases of that owner have ended. The tasks that may have run there are not
	 * started before it has.
	 *
	 * @param worker the worker
	 * @param anyTask whether any task of the former owner may have run there
	 * @param tasks number of tasks that may have run there otherwise
	 */
	record InheritedRunsUnread(String worker, boolean anyTask, int tasks) implements PoolDecision {

	}

	/**
	 * Load of the pool, written once a second by its owner.
	 *
	 * @param epoch the fencing token
	 * @param workers number of workers that accept new work
	 * @param capacity capacity of these workers, thousandths of a processor
	 * @param committed capacity used by runs, including those being stopped, thousandths
	 * of a processor
	 * @param held capacity held for gangs that wait for an eligibility answer,
	 * thousandths of a processor
	 * @param stepsWaiting number of steps with tasks that are ready to start
	 * @param tasksWaiting number of those tasks
	 * @param questionsSent number of eligibility requests in flight
	 * @param questionsQueued number of eligibility requests that wait for a host with
	 * free capacity for calls
	 * @param jobsWaiting number of jobs of all queues of which no task has started
	 * @param countAgeMillis time since the last durable count of waiting jobs was made,
	 * -1 before the first one
	 * @param turns passes of the scheduling loop since the last line
	 * @param turnMillis total duration of these passes
	 * @param longestTurnMillis duration of the longest pass
	 */
	record PoolLoad(long epoch, int workers, long capacity, long committed, long held, int stepsWaiting,
			int tasksWaiting, int questionsSent, int questionsQueued, int jobsWaiting, long countAgeMillis, int turns,
			long turnMillis, long longestTurnMillis) implements PoolDecision {

	}

	/**
	 * Customers that yield to others because they want more than their share of a pool
	 * with too little room, written once a second while there are any, and once more when
	 * there are none.
	 *
	 * @param epoch the fencing token
	 * @param customers names of the customers
	 */
	record CustomersYielding(long epoch, List<String> customers) implements PoolDecision {

	}

	/**
	 * Steps whose tasks have been waiting for a second or longer, written once a second
	 * while there are any, and once more when there are none.
	 *
	 * @param epoch the fencing token
	 * @param steps number of steps by the reason of their wait
	 */
	record StepsWaiting(long epoch, Map<String, Integer> steps) implements PoolDecision {

		public StepsWaiting {
			steps = Collections.unmodifiableMap(new TreeMap<>(steps));
		}

	}

	/**
	 * A worker is reachable and may be given work.
	 *
	 * @param worker the worker
	 * @param startedMillis when its incarnation was started, epoch milliseconds on its
	 * clock, -1 if it does not tell
	 * @param running number of tasks that run on it
	 */
	record WorkerReached(String worker, long startedMillis, int running) implements PoolDecision {

	}

	/**
	 * A worker reports to this owner for the first time, or for the first time since it
	 * restarted, or once more after a report whose list of ends was not complete.
	 *
	 * @param worker the worker
	 * @param startedMillis when its incarnation was started, epoch milliseconds on its
	 * clock, -1 if it does not tell
	 * @param running number of tasks that run on it
	 * @param ends number of ends that it lists
	 * @param firstSequence the lowest of their numbers, 0 if it lists none
	 * @param lastSequence the highest of their numbers, 0 if it lists none
	 * @param complete whether it lists all ends that are not acknowledged
	 */
	record WorkerReported(String worker, long startedMillis, int running, int ends, long firstSequence,
			long lastSequence, boolean complete) implements PoolDecision {

	}

	/**
	 * Ends are presumed not to exist whose numbers a worker has not listed although it
	 * listed higher ones. Of the first ends that an owner reads, an earlier owner may
	 * have acknowledged those before.
	 *
	 * @param worker the worker
	 * @param startedMillis when its incarnation was started, epoch milliseconds on its
	 * clock, -1 if it does not tell
	 * @param first the lowest of these numbers
	 * @param last the highest of these numbers
	 */
	record EndsNotListed(String worker, long startedMillis, long first, long last) implements PoolDecision {

	}

	/**
	 * A poll acknowledges ends to a worker, which forgets them.
	 *
	 * @param worker the worker
	 * @param startedMillis when its incarnation was started, epoch milliseconds on its
	 * clock, -1 if it does not tell
	 * @param upTo the highest number that is acknowledged
	 * @param formerUpTo the highest number that was acknowledged before
	 * @param rowVersion version of the rows with which the last of these ends became
	 * durable
	 */
	record EndsAcknowledged(String worker, long startedMillis, long upTo, long formerUpTo,
			long rowVersion) implements PoolDecision {

	}

	/**
	 * A worker is unresponsive and is given no work.
	 *
	 * @param worker the worker
	 * @param reason the failure
	 * @param running number of tasks that may run on it
	 */
	record WorkerSilent(String worker, String reason, int running) implements PoolDecision {

	}

	/**
	 * Another incarnation of a worker than before answered under its id.
	 *
	 * @param worker the worker
	 * @param formerStartedMillis when the former incarnation was started, epoch
	 * milliseconds on its clock, -1 if it did not tell
	 * @param startedMillis when this incarnation was started, likewise
	 * @param formerClockMillis last known reading of the former incarnation's clock
	 * @param clockMillis reading of this incarnation's clock
	 * @param acknowledged highest sequence number of a termination that was acknowledged
	 * to the former incarnation
	 * @param running number of runs that may have been active on the worker
	 */
	record WorkerRestarted(String worker, long formerStartedMillis, long startedMillis, long formerClockMillis,
			long clockMillis, long acknowledged, int running) implements PoolDecision {

	}

	/**
	 * A worker was lost: this owner keeps nothing active on it any more.
	 *
	 * @param worker the worker
	 * @param failureDomain its failure domain
	 * @param reason evidence of that
	 * @param draining whether it had announced that it leaves
	 * @param outage whether it was lost together with its rack or failure domain
	 * @param silentMillis time since it stopped answering
	 * @param lost number of runs that were lost
	 */
	record WorkerLost(String worker, String failureDomain, String reason, boolean draining, boolean outage,
			long silentMillis, int lost) implements PoolDecision {

	}

	/**
	 * A worker is temporarily given no work because runs fail on it.
	 *
	 * @param worker the worker
	 * @param failuresInRow number of consecutive failed runs
	 * @param untilMillis how long the worker is avoided
	 */
	record WorkerAvoided(String worker, int failuresInRow, long untilMillis) implements PoolDecision {

	}

	/**
	 * Runs on a worker take so much longer than on others that it is avoided, or no
	 * longer do.
	 *
	 * @param worker the worker
	 * @param speed its class
	 * @param percent run times there in percent of those on the pool's median worker
	 */
	record WorkerSpeedChanged(String worker, String speed, long percent) implements PoolDecision {

	}

	/**
	 * The number of workers in each class of speed has changed.
	 *
	 * @param fast workers with clearly shorter run times
	 * @param usual workers like the median, or of unknown speed
	 * @param slow workers with clearly longer run times
	 * @param stalled workers that are avoided
	 */
	record SpeedsLearnt(int fast, int usual, int slow, int stalled) implements PoolDecision {

	}

	/**
	 * This process has acquired ownership of the pool.
	 *
	 * @param epoch the fencing token
	 * @param previousHolder the previous owner
	 * @param reason why the pool had no owner
	 * @param release the release of this process
	 */
	record OwnershipTaken(long epoch, String previousHolder, String reason, String release) implements PoolDecision {

		public OwnershipTaken(long epoch, String previousHolder, String reason) {
			this(epoch, previousHolder, reason, Release.current());
		}

	}

	/**
	 * This host starts to follow the jobs as a standby, or stops to.
	 *
	 * @param following whether it follows them now
	 */
	record StandbyChanged(boolean following) implements PoolDecision {

	}

	/**
	 * The owner has loaded the jobs and begins to place tasks.
	 *
	 * @param epoch the fencing token
	 * @param jobs number of jobs that have not ended
	 * @param tookMillis time since it became the owner
	 */
	record OwnershipSettled(long epoch, int jobs, long tookMillis) implements PoolDecision {

	}

	/**
	 * The previous owner runs an earlier release, which drops recorded crashes: tasks
	 * that crash their workers are counted anew.
	 *
	 * @param epoch the fencing token
	 * @param previousHost host of the previous owner
	 */
	record CrashRecordsMissing(long epoch, String previousHost) implements PoolDecision {

	}

	/**
	 * The owner continues without confirmed renewals: its lease has expired, and another
	 * process may own the pool.
	 *
	 * @param epoch the fencing token
	 * @param renewalAgeMillis age of its last renewal
	 * @param reachableWorkers number of workers that answer it
	 * @param unreachableWorkers number of workers that do not
	 * @param running number of runs that may be active on all of them
	 */
	record OwnershipUnconfirmed(long epoch, long renewalAgeMillis, int reachableWorkers, int unreachableWorkers,
			int running) implements PoolDecision {

	}

	/**
	 * A renewal was confirmed again: no other process has owned the pool meanwhile.
	 *
	 * @param epoch the fencing token
	 * @param unconfirmedMillis time between the last renewal and this one
	 */
	record OwnershipConfirmed(long epoch, long unconfirmedMillis) implements PoolDecision {

	}

	/**
	 * This process has lost ownership of the pool.
	 *
	 * @param epoch the fencing token of the lost ownership
	 * @param reason reason for the loss
	 */
	record OwnershipLost(long epoch, String reason) implements PoolDecision {

	}

	/**
	 * Tasks of one image are believed to be slower beside tasks of another one.
	 *
	 * @param image the image that is slowed
	 * @param neighbour the image that slows it
	 * @param percent by how much its run time or tail latency grows
	 * @param observations number of observations with the neighbour, recent ones
	 * @param workers number of workers on which they were made
	 */
	record InterferenceSuspected(String image, String neighbour, int percent, long observations,
			int workers) implements PoolDecision {

	}

	/**
	 * Tasks of one image are no longer believed to be slower beside tasks of another one.
	 *
	 * @param image the image that was slowed
	 * @param neighbour the image that slowed it
	 * @param percent the present estimate
	 * @param observations number of observations with the neighbour that still count
	 */
	record InterferenceEnded(String image, String neighbour, int percent, long observations) implements PoolDecision {

	}

}
