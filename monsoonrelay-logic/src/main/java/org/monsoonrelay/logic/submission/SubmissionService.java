package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.customers.CallerPermit;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Accepts jobs and cancellations from callers. Invariants: a job is reported as accepted
 * only once its row exists; it is reported as not accepted only if no write of its row
 * can take effect any more; a caller that cancels a job is told that there is none only
 * once no submission of it so far can store it. Every write is conditional on the absence
 * of the row, so that repeated writes and submissions create one job, whichever hosts
 * they go through, and that of a job on the absence of its {@link Withdrawal} as well. A
 * write that the table does not accept from this host is sent through another host, so
 * that callers are served while the table rejects this host. A job is neither shown to
 * nor changed by another customer's caller, and nothing is written once the permit of a
 * request has ended. Thread-safe.
 */
public final class SubmissionService {

	/**
	 * Consecutive failed writes, with no response of the table in between, after which
	 * direct writes stop. Callers' writes are not used to probe the table: each write
	 * attempted during an outage may leave its caller with an unknown outcome.
	 */
	private static final int MAX_TABLE_FAILURES = 3;

	/**
	 * Consecutive failed writes through another host after which that path is skipped: it
	 * is used only after the direct path has failed, and a caller waits up to 1 s for it.
	 */
	private static final int MAX_RELAY_FAILURES = 1;

	private static final String CANCELLATION_VALUE = "{}";

	private final PartitionedTable table;

	private final JobStates states;

	private final ScheduledExecutorService timer;

	private final LongSupplier nanoTime;

	private final StoredJobListener stored;

	private final CommitRelay relay;

	private final StorageAvailabilityMonitor storage;

	private final AtomicInteger tableFailures = new AtomicInteger();

	private final CircuitBreaker relayBreaker;

	private final WithdrawalLimit withdrawalLimit;

	private final CallerWrite.WritePaths paths = new HostWritePaths();

	/**
	 * Create a service.
	 * @param table where jobs are stored
	 * @param states the known states of jobs
	 * @param stored notified of stored jobs and cancellations
	 * @param relay writes through another host
	 * @param storage tracks whether jobs can be stored
	 * @param timer schedules retries
	 * @param nanoTime the monotonic clock, nanoseconds
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
		this.relayBreaker = new CircuitBreaker(MAX_RELAY_FAILURES, nanoTime);
		this.withdrawalLimit = new WithdrawalLimit(nanoTime);
	}

	/**
	 * Submit a job.
	 * @param submission the job
	 * @param permit permission of the request
	 * @param deadlineNanos the deadline of the caller on the monotonic clock, nanoseconds
	 * @return the outcome for the caller
	 */
	public CompletableFuture<AcceptOutcome> submit(Submission submission, CallerPermit permit, long deadlineNanos) {
		String id = submission.id();
		if (this.states.state(id).isPresent()) {
			return repeated(id, permit);
		}
		return store(new SubmissionWrite(submission, permit, deadlineNanos), 0).thenApply((outcome) -> {
			if (outcome == AcceptOutcome.ACCEPTED) {
				if (permit.caller().isRestricted()) {
					this.states.recordCustomer(id, submission.customer());
				}
				this.states.update(id, SubmissionState.QUEUED);
			}
			return outcome;
		});
	}

	private CompletableFuture<AcceptOutcome> store(SubmissionWrite write, long withdrawalVersion) {
		Submission submission = write.submission();
		String id = submission.id();
		PartitionWrite rows = withdrawals(id, withdrawalVersion).put(JobTables.JOBS, id, Json.write(submission));
		return store(rows, write.permit(), new CallerWrite.StoredListener() {

			@Override
			public void stored(long version) {
				SubmissionService.this.stored.jobAccepted(submission, version);
			}

			@Override
			public CompletableFuture<AcceptOutcome> found(List<TableRow> current) {
				return ExistingRows.of(SubmissionService.this.table, id, current)
					.thenCompose((existing) -> storeBeside(existing, write, withdrawalVersion));
			}

		}, write.deadlineNanos());
	}

	private CompletableFuture<AcceptOutcome> storeBeside(ExistingRows existing, SubmissionWrite write,
			long triedVersion) {
		if (existing.job().isPresent()) {
			return repeated(write.submission().id(), write.permit());
		}
		boolean isWithdrawn = existing.withdrawal()
			.filter((row) -> Withdrawal.of(row).concerns(write.submission().customer()))
			.isPresent();
		return isWithdrawn ? CompletableFuture.completedFuture(AcceptOutcome.WITHDRAWN)
				: store(write, existing.withdrawalVersionOtherThan(triedVersion));
	}

	// A job and its withdrawal exclude each other, but for one by other customers.
	private static PartitionWrite withdrawals(String id, long withdrawalVersion) {
		return PartitionWrite.to(JobTables.partition(id))
			.onVersion(JobTables.JOBS, id, 0)
			.onVersion(JobTables.WITHDRAWALS, id, withdrawalVersion);
	}

	private CompletableFuture<AcceptOutcome> repeated(String id, CallerPermit permit) {
		if (!permit.caller().isRestricted()) {
			return CompletableFuture.completedFuture(AcceptOutcome.ACCEPTED);
		}
		return customer(id).thenApply((customer) -> customer
			.map((name) -> permit.caller().mayUse(name) ? AcceptOutcome.ACCEPTED : AcceptOutcome.ID_IN_USE)
			.orElse(AcceptOutcome.UNKNOWN));
	}

	// Empty if the job does not exist.
	private CompletableFuture<Optional<String>> customer(String id) {
		Optional<String> known = this.states.customer(id);
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(known);
		}
		return this.table.read(JobTables.JOBS, JobTables.partition(id), id, 1).thenApply((page) -> {
			rowOf(id, page).ifPresent((row) -> this.states.recordCustomer(id, StoredCustomer.of(row)));
			return this.states.customer(id);
		});
	}

	/**
	 * Cancel a job.
	 * @param id the job's id
	 * @param permit permission of the request
	 * @param deadlineNanos the deadline of the caller on the monotonic clock, nanoseconds
	 * @return the outcome for the caller
	 */
	public CompletableFuture<AcceptOutcome> cancel(String id, CallerPermit permit, long deadlineNanos) {
		return state(id, permit).thenCompose((known) -> {
			if (known.isEmpty()) {
				return withdraw(id, permit, deadlineNanos);
			}
			if (known.get().isFinal()) {
				return CompletableFuture.completedFuture(AcceptOutcome.ACCEPTED);
			}
			String key = JobTables.cancelKey(id);
			PartitionWrite write = PartitionWrite.to(JobTables.partition(id))
				.onVersion(JobTables.JOBS, key, 0)
				.put(JobTables.JOBS, key, CANCELLATION_VALUE);
			return store(write, permit, (version) -> this.stored.jobCancelled(id), deadlineNanos);
		});
	}

	// That there is no row yet does not mean that none comes: a submission may be on its
	// way, or take effect late.
	private CompletableFuture<AcceptOutcome> withdraw(String id, CallerPermit permit, long deadlineNanos) {
		return this.withdrawalLimit.tryAcquire()
				? withdraw(id, permit, deadlineNanos, 0, Withdrawal.by(permit.caller()))
				: CompletableFuture.completedFuture(AcceptOutcome.NOT_ACCEPTED);
	}

	private CompletableFuture<AcceptOutcome> withdraw(String id, CallerPermit permit, long deadlineNanos,
			long withdrawalVersion, Withdrawal withdrawal) {
		PartitionWrite write = withdrawals(id, withdrawalVersion).put(JobTables.WITHDRAWALS, id,
				Json.write(withdrawal));
		return store(write, permit, new CallerWrite.StoredListener() {

			@Override
			public void stored(long version) {
			}

			@Override
			public AcceptOutcome storedOutcome() {
				return AcceptOutcome.NO_SUCH_JOB;
			}

			@Override
			public CompletableFuture<AcceptOutcome> found(List<TableRow> current) {
				return ExistingRows.of(SubmissionService.this.table, id, current)
					.thenCompose((existing) -> withdrawBeside(existing, id, permit, deadlineNanos, withdrawalVersion));
			}

		}, deadlineNanos);
	}

	private CompletableFuture<AcceptOutcome> withdrawBeside(ExistingRows existing, String id, CallerPermit permit,
			long deadlineNanos, long triedVersion) {
		if (existing.job().isPresent()) {
			return permit.caller().mayUse(StoredCustomer.of(existing.job().get())) ? cancel(id, permit, deadlineNanos)
					: CompletableFuture.completedFuture(AcceptOutcome.NO_SUCH_JOB);
		}
		Withdrawal own = Withdrawal.by(permit.caller());
		Optional<Withdrawal> known = existing.withdrawal().map(Withdrawal::of);
		Withdrawal all = known.map((earlier) -> earlier.and(own)).orElse(own);
		return known.equals(Optional.of(all)) ? CompletableFuture.completedFuture(AcceptOutcome.NO_SUCH_JOB)
				: withdraw(id, permit, deadlineNanos, existing.withdrawalVersionOtherThan(triedVersion), all);
	}

	/**
	 * The state of a job, from the known states or else from its rows.
	 * @param id the job's id
	 * @param permit permission of the request
	 * @return the state, empty if the caller has no such job; fails with
	 * {@link PlatformException} if the state cannot be determined, or the permit has
	 * ended meanwhile
	 */
	public CompletableFuture<Optional<SubmissionState>> state(String id, CallerPermit permit) {
		if (!permit.caller().isRestricted()) {
			return state(id);
		}
		return customer(id).thenCompose((customer) -> customer.filter(permit.caller()::mayUse).isPresent() ? state(id)
				: CompletableFuture.completedFuture(Optional.empty()))
			.thenApply((found) -> {
				if (!permit.isValid()) {
					throw new PlatformException("the key may have been removed", false, null);
				}
				return found;
			});
	}

	private CompletableFuture<Optional<SubmissionState>> state(String id) {
		if (this.states.isUnreadable(id)) {
			return readState(id);
		}
		Optional<SubmissionState> known = this.states.state(id);
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(known);
		}
		return this.table.read(JobTables.JOBS, JobTables.partition(id), id, 1)
			.thenCompose((page) -> rowOf(id, page).isPresent() ? readState(id)
					: CompletableFuture.completedFuture(this.states.state(id)));
	}

	// The copy of the states may not be complete yet, and has no states that were written
	// before hosts followed them apart from the progress.
	private CompletableFuture<Optional<SubmissionState>> readState(String id) {
		return this.table.read(JobTables.PROGRESS, JobTables.POOL_PARTITION, id, 1).thenCompose((page) -> {
			rowOf(id, page).ifPresentOrElse((row) -> this.states.changed(List.of(row)),
					() -> this.states.update(id, SubmissionState.QUEUED));
			return this.states.isUnreadable(id) ? unreadableProgress(id)
					: CompletableFuture.completedFuture(this.states.state(id));
		});
	}

	private static Optional<TableRow> rowOf(String id, TablePage page) {
		return page.rows().stream().filter((row) -> row.key().equals(id)).findFirst();
	}

	private static CompletableFuture<Optional<SubmissionState>> unreadableProgress(String id) {
		return CompletableFuture
			.failedFuture(new PlatformException("the progress of " + id + " cannot be read", false, null));
	}

	/**
	 * Number of jobs waiting in a queue.
	 * @param queue the queue's name
	 * @return the number, and what it rests on
	 */
	public WaitingJobs waitingJobs(String queue) {
		return this.states.waitingJobs(queue);
	}

	private CompletableFuture<AcceptOutcome> store(PartitionWrite write, CallerPermit permit,
			CallerWrite.StoredListener listener, long deadlineNanos) {
		return new CallerWrite(this.paths, write, permit::isValid, listener, this.timer, deadlineNanos).start();
	}

	/**
	 * Record a response of the table, after which direct writes are attempted again.
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
			return service.storage.isAvailable() && service.tableFailures.get() < MAX_TABLE_FAILURES;
		}

		@Override
		public CompletableFuture<PartitionCommit> writeDirectly(PartitionWrite write) {
			SubmissionService service = SubmissionService.this;
			return service.table.commit(write).whenComplete((commit, failure) -> {
				if (isAnswered(commit)) {
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
				if (isAnswered(commit)) {
					service.relayBreaker.recordSuccess();
				}
				else {
					service.relayBreaker.recordFailure();
				}
			}));
		}

		private boolean isAnswered(PartitionCommit commit) {
			return commit instanceof PartitionCommit.Committed || commit instanceof PartitionCommit.Conflict
					|| commit instanceof PartitionCommit.Rejected;
		}

	}

	/**
	 * A submission on behalf of a caller.
	 *
	 * @param submission the job
	 * @param permit permission of the request
	 * @param deadlineNanos the deadline of the caller on the monotonic clock, nanoseconds
	 */
	private record SubmissionWrite(Submission submission, CallerPermit permit, long deadlineNanos) {

	}

}
