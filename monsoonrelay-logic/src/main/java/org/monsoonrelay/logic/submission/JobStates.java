package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * The durable states of jobs as a gateway knows them, from the feed of the owner's writes
 * and from what this gateway accepted. Invariants: a state never goes back from a final
 * one; of a job whose progress cannot be read no state is told that may have passed; a
 * count never gives way to an older one, whichever way each came. Thread-safe.
 */
public final class JobStates implements TableFollower.Listener {

	private final Map<String, SubmissionState> states = new ConcurrentHashMap<>();

	private final Set<String> unclear = ConcurrentHashMap.newKeySet();

	private final UnreadableRows unreadable;

	private final AtomicReference<QueueCount> count = new AtomicReference<>(QueueCount.NONE);

	public JobStates(UnreadableRows unreadable) {
		this.unreadable = unreadable;
	}

	@Override
	public void snapshot(String partition, List<TableRow> rows) {
		changed(rows);
	}

	@Override
	public void changed(List<TableRow> rows) {
		rows.forEach(this::take);
	}

	private void take(TableRow row) {
		if (row.deleted()) {
			this.states.remove(row.key());
			this.unclear.remove(row.key());
			this.unreadable.clear(row);
			return;
		}
		if (row.key().equals(JobTables.SUMMARY_KEY)) {
			this.unreadable.read(row, QueueSummary.class)
				.ifPresent((counted) -> updateCount(new QueueCount(counted, row.version())));
			return;
		}
		this.unreadable.read(row, JobProgress.class).ifPresentOrElse((progress) -> {
			update(row.key(), progress.state());
			this.unclear.remove(row.key());
		}, () -> this.unclear.add(row.key()));
	}

	/**
	 * Whether it cannot be told what has become of a job, as its progress cannot be read.
	 * @param job the job's id
	 * @return {@code true} if so
	 */
	boolean isUnreadable(String job) {
		return this.unclear.contains(job) && state(job).filter(SubmissionState::isFinal).isEmpty();
	}

	/**
	 * Take in what an owner of the pool says has become durable. States are facts whoever
	 * tells them; an older count than the one known is left out.
	 * @param told the new states, by job
	 * @param pending the jobs that wait, if they were counted anew
	 */
	public void applyOwnerUpdate(Map<String, SubmissionState> told, Optional<QueueCount> pending) {
		told.forEach(this::update);
		pending.ifPresent(this::updateCount);
	}

	// An owner tells a count only when it changes, so that an older one from the feed, or
	// from a former owner, would stay.
	private void updateCount(QueueCount counted) {
		this.count.accumulateAndGet(counted, QueueCount::newer);
	}

	/**
	 * Note a state.
	 * @param job the job's id
	 * @param state the state
	 */
	public void update(String job, SubmissionState state) {
		this.states.merge(job, state, JobStates::later);
	}

	private static SubmissionState later(SubmissionState known, SubmissionState told) {
		if (known.isFinal() && !told.isFinal()) {
			return known;
		}
		// The owner's word on how a job ended goes before this gateway's own note of a
		// cancellation, which may have come too late.
		if (told == SubmissionState.CANCELLED && known.isFinal()) {
			return known;
		}
		return (told.ordinal() >= known.ordinal() || told.isFinal()) ? told : known;
	}

	/**
	 * The state of a job.
	 * @param job the job's id
	 * @return the state, if the job is known here
	 */
	public Optional<SubmissionState> state(String job) {
		return Optional.ofNullable(this.states.get(job));
	}

	/**
	 * Number of jobs that wait in a queue.
	 * @param queue the queue's name
	 * @return the owner's last word
	 */
	public int pending(String queue) {
		return this.count.get().summary().pending().getOrDefault(queue, 0);
	}

}
