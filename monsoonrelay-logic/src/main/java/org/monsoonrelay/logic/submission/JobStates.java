package org.monsoonrelay.logic.submission;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.customers.JobCustomers;
import org.monsoonrelay.logic.platform.FreshnessTracker;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * The durable states of jobs known to a gateway, from the change feed of the owner's
 * writes, from the owner's messages, and from jobs that this gateway accepted.
 * Invariants: a final state is never replaced by a state that is not final; no possibly
 * outdated state is reported for a job whose progress row is unreadable; a queue count is
 * never replaced by an older one, whether it arrives by feed or by message; the age of a
 * count is never less than the time since it was made, but for the duration of the
 * owner's write. Thread-safe.
 */
public final class JobStates implements TableFollower.Listener {

	private final Map<String, SubmissionState> states = new ConcurrentHashMap<>();

	private final Set<String> unreadableJobs = ConcurrentHashMap.newKeySet();

	private final JobCustomers customers = new JobCustomers();

	private final UnreadableRows unreadable;

	private final LongSupplier nanoTime;

	private final FreshnessTracker freshness;

	private final AtomicReference<ReceivedCount> newestCount = new AtomicReference<>(ReceivedCount.NONE);

	/**
	 * Creates states of which nothing is known yet.
	 * @param unreadable records rows that cannot be read
	 * @param nanoTime the monotonic clock, nanoseconds
	 */
	public JobStates(UnreadableRows unreadable, LongSupplier nanoTime) {
		this.unreadable = unreadable;
		this.nanoTime = nanoTime;
		this.freshness = new FreshnessTracker(nanoTime);
	}

	@Override
	public void snapshot(String partition, List<TableRow> rows) {
		changed(rows);
	}

	@Override
	public void changed(List<TableRow> rows) {
		rows.forEach(this::applyRow);
	}

	@Override
	public void onCallSent(Duration wait) {
		this.freshness.callSent(wait);
	}

	@Override
	public void onAnswerDelivered(boolean empty) {
		this.freshness.answerDelivered(empty);
	}

	private void applyRow(TableRow row) {
		if (row.deleted()) {
			this.states.remove(row.key());
			this.unreadableJobs.remove(row.key());
			this.customers.remove(row.key());
			this.unreadable.clear(row);
			return;
		}
		if (row.key().equals(JobTables.SUMMARY_KEY)) {
			this.unreadable.read(row, QueueSummary.class)
				.ifPresent((summary) -> updateCount(new QueueCount(summary, row.version()), CountSource.TABLE));
			return;
		}
		this.unreadable.read(row, JobStateRow.class).ifPresentOrElse((job) -> {
			if (!job.customer().isEmpty()) {
				recordCustomer(row.key(), job.customer());
			}
			update(row.key(), job.state());
			this.unreadableJobs.remove(row.key());
		}, () -> this.unreadableJobs.add(row.key()));
	}

	/**
	 * Whether the state of a job is uncertain because its progress row is unreadable.
	 * @param job the job's id
	 * @return {@code true} if the row is unreadable and no final state is known
	 */
	boolean isUnreadable(String job) {
		return this.unreadableJobs.contains(job) && state(job).filter(SubmissionState::isFinal).isEmpty();
	}

	/**
	 * Apply a message of a pool owner about durable changes. States are applied whichever
	 * owner sent them; a count older than the known one is ignored.
	 * @param changedStates the new states, by job
	 * @param pending the count of waiting jobs, if it changed
	 */
	public void applyOwnerUpdate(Map<String, SubmissionState> changedStates, Optional<QueueCount> pending) {
		changedStates.forEach(this::update);
		pending.ifPresent((count) -> updateCount(count, CountSource.MESSAGE));
	}

	// An older count may arrive late, by feed or from a former owner. The copy of the
	// table, as last confirmed, has no count as new as this one, so this one was made
	// after that. When a message arrives tells nothing: it may have been held up.
	private void updateCount(QueueCount queueCount, CountSource source) {
		ReceivedCount received = new ReceivedCount(queueCount, source, this.nanoTime.getAsLong(),
				this.freshness.confirmedNanos());
		this.newestCount.accumulateAndGet(received, ReceivedCount::newer);
	}

	/**
	 * Update the state of a job, unless a later state is known.
	 * @param job the job's id
	 * @param state the state
	 */
	public void update(String job, SubmissionState state) {
		this.states.merge(job, state, JobStates::laterOf);
	}

	private static SubmissionState laterOf(SubmissionState known, SubmissionState update) {
		if (known.isFinal() && !update.isFinal()) {
			return known;
		}
		// A final state from the owner takes precedence over a cancellation recorded by
		// this gateway, which may have come too late.
		if (update == SubmissionState.CANCELLED && known.isFinal()) {
			return known;
		}
		return (update.ordinal() >= known.ordinal() || update.isFinal()) ? update : known;
	}

	/**
	 * The state of a job.
	 * @param job the job's id
	 * @return the state, empty if the job is unknown to this gateway
	 */
	public Optional<SubmissionState> state(String job) {
		return Optional.ofNullable(this.states.get(job));
	}

	/**
	 * Remember the customer of a job.
	 * @param job the job's id
	 * @param customer the customer's name, empty if the job has none
	 */
	void recordCustomer(String job, String customer) {
		this.customers.record(job, customer);
	}

	/**
	 * The customer of a job, which other customers must not learn of.
	 * @param job the job's id
	 * @return the customer's name, empty text if the job has none; empty if this host has
	 * to read it
	 */
	Optional<String> customer(String job) {
		return this.customers.customer(job);
	}

	/**
	 * Number of jobs waiting in a queue.
	 * @param queue the queue's name
	 * @return the newest count received from the owner, 0 if there is none
	 */
	public WaitingJobs waitingJobs(String queue) {
		ReceivedCount newest = this.newestCount.get();
		QueueCount count = newest.count();
		long ageMillis = newest.countedAfterNanos().isPresent() ? millisSince(newest.countedAfterNanos().getAsLong())
				: WaitingJobs.UNKNOWN;
		long receivedMillis = (newest.source() != CountSource.NONE) ? millisSince(newest.receivedNanos())
				: WaitingJobs.UNKNOWN;
		return new WaitingJobs(count.summary().pending().getOrDefault(queue, 0), count.version(), newest.source(),
				ageMillis, receivedMillis, copyAgeMillis());
	}

	private long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.nanoTime.getAsLong() - nanos);
	}

	/**
	 * The time since the table confirmed the known states and counts.
	 * @return the age, milliseconds, or {@link WaitingJobs#UNKNOWN}
	 */
	public long copyAgeMillis() {
		return this.freshness.ageMillis().orElse(WaitingJobs.UNKNOWN);
	}

}
