package org.monsoonrelay.logic.submission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Takes jobs and cancellations from callers. Invariants: a job is called accepted only
 * once its row exists; it is called not accepted only if no write of its row can take
 * effect any more. Every write is conditional on the row's absence, so that repeats of a
 * write and of a submission leave one job, through whatever host. A write that the table
 * does not take from this host is tried through another one, so that callers of a host
 * that the table turns away are not refused. Thread-safe.
 */
public final class SubmissionService {

	/**
	 * Failed writes in a row, with no answer of the table between, after which it counts
	 * as down for this host. Callers' jobs do not find out whether it still is: each one
	 * tried in an outage may leave a caller without a certain answer.
	 */
	private static final int DOWN_AFTER = 3;

	/**
	 * Failed writes in a row through another host after which that way counts as down: it
	 * is taken only after this host's own has failed, and a caller waits a second for it.
	 */
	private static final int RELAY_DOWN_AFTER = 1;

	private static final String CANCELLED = "{}";

	private final PartitionedTable table;

	private final JobStates states;

	private final ScheduledExecutorService timer;

	private final LongSupplier nanoTime;

	private final StoredJobListener stored;

	private final CommitRelay relay;

	private final StorageAvailabilityMonitor storage;

	private final AtomicInteger tableFailures = new AtomicInteger();

	private final CircuitBreaker relayBreaker;

	private final CallerWrite.WritePaths paths = new HostWritePaths();

	/**
	 * Create a service.
	 * @param table where jobs are stored
	 * @param states the states that are known
	 * @param stored told of what was stored
	 * @param relay another way to store
	 * @param storage whether anything can be stored
	 * @param timer for repeats
	 * @param nanoTime the steady clock
	 */
	public SubmissionService(PartitionedTable table, JobStates states, StoredJobListener stored, CommitRelay relay,
			StorageAvailabilityMonitor storage, ScheduledExecutorService timer, LongSupplier nanoTime) {
		this.stored = stored;
		this.storage = storage;
		this.relay = relay;
		this.table = table;
		this.states = states;
		this.timer = timer;
		this.nanoTime = nanoTime;
		this.relayBreaker = new CircuitBreaker(RELAY_DOWN_AFTER, nanoTime);
	}

	/**
	 * Accept a job.
	 * @param submission the job
	 * @param deadlineNanos until when the caller waits, on the steady clock
	 * @return what the caller is told
	 */
	public CompletableFuture<AcceptOutcome> submit(Submission submission, long deadlineNanos) {
		String id = submission.id();
		if (this.states.state(id).isPresent()) {
			return CompletableFuture.completedFuture(AcceptOutcome.ACCEPTED);
		}
		PartitionWrite write = PartitionWrite.to(JobTables.partition(id))
			.onVersion(JobTables.JOBS, id, 0)
			.put(JobTables.JOBS, id, Json.write(submission));
		return store(write, (version) -> this.stored.jobAccepted(submission, version), deadlineNanos)
			.thenApply((outcome) -> {
				if (outcome == AcceptOutcome.ACCEPTED) {
					this.states.update(id, SubmissionState.QUEUED);
				}
				return outcome;
			});
	}

	/**
	 * Cancel a job.
	 * @param id the job's id
	 * @param deadlineNanos until when the caller waits, on the steady clock
	 * @return what the caller is told
	 */
	public CompletableFuture<AcceptOutcome> cancel(String id, long deadlineNanos) {
		return state(id).thenCompose((known) -> {
			if (known.isEmpty()) {
				return CompletableFuture.completedFuture(AcceptOutcome.NO_SUCH_JOB);
			}
			if (known.get().isFinal()) {
				return CompletableFuture.completedFuture(AcceptOutcome.ACCEPTED);
			}
			String key = JobTables.cancelKey(id);
			PartitionWrite write = PartitionWrite.to(JobTables.partition(id))
				.onVersion(JobTables.JOBS, key, 0)
				.put(JobTables.JOBS, key, CANCELLED);
			return store(write, (version) -> this.stored.jobCancelled(id), deadlineNanos);
		});
	}

	/**
	 * The state of a job: what the feed told, else what its row tells.
	 * @param id the job's id
	 * @return the state, empty if there is no such job; fails if that cannot be found out
	 */
	public CompletableFuture<Optional<SubmissionState>> state(String id) {
		if (this.states.isUnreadable(id)) {
			return CompletableFuture
				.failedFuture(new PlatformException("the progress of " + id + " cannot be read", false, null));
		}
		Optional<SubmissionState> known = this.states.state(id);
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(known);
		}
		return this.table.read(JobTables.JOBS, JobTables.partition(id), id, 1).thenApply((page) -> {
			boolean exists = page.rows().stream().anyMatch((row) -> row.key().equals(id));
			if (exists) {
				this.states.update(id, SubmissionState.QUEUED);
			}
			return this.states.state(id);
		});
	}

	/**
	 * Number of jobs that wait in a queue.
	 * @param queue the queue's name
	 * @return the number
	 */
	public int pending(String queue) {
		return this.states.pending(queue);
	}

	private CompletableFuture<AcceptOutcome> store(PartitionWrite write, LongConsumer whenStored, long deadlineNanos) {
		return new CallerWrite(this.paths, write, whenStored, this.timer, deadlineNanos).begin();
	}

	/**
	 * Note that the table has answered something, so that writes are tried again.
	 */
	public void recordTableResponse() {
		this.tableFailures.set(0);
	}

	private final class HostWritePaths implements CallerWrite.WritePaths {

		@Override
		public long nanoTime() {
			return SubmissionService.this.nanoTime.getAsLong();
		}

		@Override
		public boolean isDirectPathOpen() {
			SubmissionService service = SubmissionService.this;
			return service.storage.isAvailable() && service.tableFailures.get() < DOWN_AFTER;
		}

		@Override
		public CompletableFuture<PartitionCommit> writeDirectly(PartitionWrite write) {
			SubmissionService service = SubmissionService.this;
			return service.table.commit(write).whenComplete((commit, failure) -> {
				if (isStored(commit)) {
					service.tableFailures.set(0);
				}
				else {
					service.tableFailures.incrementAndGet();
				}
			});
		}

		@Override
		public Optional<CompletableFuture<PartitionCommit>> writeThroughPeer(PartitionWrite write) {
			SubmissionService service = SubmissionService.this;
			if (!service.storage.isAvailable() || service.relayBreaker.isOpen()) {
				return Optional.empty();
			}
			service.relayBreaker.recordAttempt();
			return service.relay.relay(write).map((answer) -> answer.whenComplete((commit, failure) -> {
				if (isStored(commit)) {
					service.relayBreaker.recordSuccess();
				}
				else {
					service.relayBreaker.recordFailure();
				}
			}));
		}

		private boolean isStored(PartitionCommit commit) {
			return commit instanceof PartitionCommit.Committed || commit instanceof PartitionCommit.Conflict;
		}

	}

}
