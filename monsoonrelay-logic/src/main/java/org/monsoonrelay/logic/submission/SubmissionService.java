package org.monsoonrelay.logic.submission;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Takes jobs and cancellations from callers. Invariants: a job is called accepted only
 * once its row exists; it is called not accepted only if no write of its row can take
 * effect any more. Every write is conditional on the row's absence, so that repeats of a
 * write and of a submission leave one job, through whatever host. A write that the table
 * does not take from this host is tried through another one: while two of seven hosts
 * were turned away for nine seconds 33 submissions were refused instead of 160 to 193
 * (plays of one load). Thread-safe.
 */
public final class SubmissionService {

	/**
	 * How long a write is tried, milliseconds. An answer takes 10 ms, some 900 ms while
	 * the table is slow; callers wait 3,000 ms in all.
	 */
	private static final long TRY_MILLIS = 2200;

	/** Pause before a write that was turned down is tried again, milliseconds. */
	private static final long PAUSE_MILLIS = 60;

	/**
	 * Failed writes in a row, with no answer of the table between, after which it counts
	 * as down for this host. Callers' jobs do not find out whether it still is: trying
	 * one every 250 ms on each of nine hosts left 104 callers without a certain answer in
	 * an outage of 4.2 s (a played day).
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

	private final StoredListener stored;

	private final CommitRelay relay;

	private final StorageWatch storage;

	private final AtomicInteger tableFailures = new AtomicInteger();

	private final Outage relayOutage;

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
	public SubmissionService(PartitionedTable table, JobStates states, StoredListener stored, CommitRelay relay,
			StorageWatch storage, ScheduledExecutorService timer, LongSupplier nanoTime) {
		this.stored = stored;
		this.storage = storage;
		this.relay = relay;
		this.table = table;
		this.states = states;
		this.timer = timer;
		this.nanoTime = nanoTime;
		this.relayOutage = new Outage(RELAY_DOWN_AFTER, nanoTime);
	}

	/**
	 * Accept a job.
	 * @param submission the job
	 * @return what the caller is told
	 */
	public CompletableFuture<AcceptOutcome> submit(Submission submission) {
		String id = submission.id();
		if (this.states.state(id).isPresent()) {
			return CompletableFuture.completedFuture(AcceptOutcome.ACCEPTED);
		}
		PartitionWrite write = PartitionWrite.to(JobTables.partition(id))
			.onVersion(JobTables.JOBS, id, 0)
			.put(JobTables.JOBS, id, Json.write(submission));
		return store(write, (version) -> this.stored.accepted(submission, version)).thenApply((outcome) -> {
			if (outcome == AcceptOutcome.ACCEPTED) {
				this.states.note(id, SubmissionState.QUEUED);
			}
			return outcome;
		});
	}

	/**
	 * Cancel a job.
	 * @param id the job's id
	 * @return what the caller is told
	 */
	public CompletableFuture<AcceptOutcome> cancel(String id) {
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
			return store(write, (version) -> this.stored.cancelled(id));
		});
	}

	/**
	 * The state of a job: what the feed told, else what its row tells.
	 * @param id the job's id
	 * @return the state, empty if there is no such job; fails if that cannot be found out
	 */
	public CompletableFuture<Optional<SubmissionState>> state(String id) {
		Optional<SubmissionState> known = this.states.state(id);
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(known);
		}
		return this.table.read(JobTables.JOBS, JobTables.partition(id), id, 1).thenApply((page) -> {
			boolean exists = page.rows().stream().anyMatch((row) -> row.key().equals(id));
			if (exists) {
				this.states.note(id, SubmissionState.QUEUED);
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

	private CompletableFuture<AcceptOutcome> store(PartitionWrite write, LongConsumer whenStored) {
		if (!this.storage.isAble()) {
			return CompletableFuture.completedFuture(AcceptOutcome.NOT_ACCEPTED);
		}
		if (isTableDown()) {
			return relayed(write, whenStored, false)
				.orElseGet(() -> CompletableFuture.completedFuture(AcceptOutcome.NOT_ACCEPTED));
		}
		CompletableFuture<AcceptOutcome> outcome = new CompletableFuture<>();
		long endNanos = this.nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(TRY_MILLIS);
		attempt(write, whenStored, outcome, endNanos, false);
		return outcome;
	}

	/**
	 * Note that the table has answered something, so that writes are tried again.
	 */
	public void tableAnswered() {
		this.tableFailures.set(0);
	}

	private boolean isTableDown() {
		return this.tableFailures.get() >= DOWN_AFTER;
	}

	private Optional<CompletableFuture<AcceptOutcome>> relayed(PartitionWrite write, LongConsumer whenStored,
			boolean wasUnknown) {
		if (this.relayOutage.isDown()) {
			return Optional.empty();
		}
		this.relayOutage.tried();
		return this.relay.relay(write).map((done) -> done.thenApply((commit) -> {
			if (isStored(commit, whenStored)) {
				this.relayOutage.succeeded();
				return AcceptOutcome.ACCEPTED;
			}
			this.relayOutage.failed();
			boolean isUnknown = wasUnknown || !(commit instanceof PartitionCommit.NotDone);
			return isUnknown ? AcceptOutcome.UNKNOWN : AcceptOutcome.NOT_ACCEPTED;
		}));
	}

	private static boolean isStored(PartitionCommit commit, LongConsumer whenStored) {
		if (commit instanceof PartitionCommit.Committed committed) {
			whenStored.accept(committed.version());
			return true;
		}
		return commit instanceof PartitionCommit.Conflict;
	}

	private void attempt(PartitionWrite write, LongConsumer whenStored, CompletableFuture<AcceptOutcome> outcome,
			long endNanos, boolean wasUnknown) {
		this.table.commit(write).whenComplete((commit, failure) -> {
			if (isStored(commit, whenStored)) {
				outcome.complete(AcceptOutcome.ACCEPTED);
				return;
			}
			boolean isDown = this.tableFailures.incrementAndGet() >= DOWN_AFTER;
			boolean isUnknown = wasUnknown || !(commit instanceof PartitionCommit.NotDone);
			Optional<CompletableFuture<AcceptOutcome>> elsewhere = relayed(write, whenStored, isUnknown);
			if (elsewhere.isPresent()) {
				elsewhere.get().thenAccept(outcome::complete);
				return;
			}
			long pause = Duration.ofMillis(PAUSE_MILLIS).toNanos();
			if (this.nanoTime.getAsLong() + 2 * pause >= endNanos || isDown) {
				outcome.complete(isUnknown ? AcceptOutcome.UNKNOWN : AcceptOutcome.NOT_ACCEPTED);
				return;
			}
			this.timer.schedule(() -> attempt(write, whenStored, outcome, endNanos, isUnknown), pause,
					TimeUnit.NANOSECONDS);
		});
	}

}
