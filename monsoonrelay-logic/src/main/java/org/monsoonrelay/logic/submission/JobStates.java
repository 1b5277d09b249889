package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * The durable states of jobs as a gateway knows them, from the feed of the owner's writes
 * and from what this gateway accepted. Invariant: a state never goes back from a final
 * one. Thread-safe.
 */
public final class JobStates implements TableFollower.Listener {

	private static final System.Logger LOGGER = System.getLogger(JobStates.class.getName());

	private final Map<String, SubmissionState> states = new ConcurrentHashMap<>();

	private final AtomicLong newestEpoch = new AtomicLong();

	private volatile QueueSummary summary = QueueSummary.NONE;

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
			return;
		}
		try {
			if (row.key().equals(JobTables.SUMMARY_KEY)) {
				this.summary = Json.readLeniently(row.value(), QueueSummary.class);
				return;
			}
			note(row.key(), Json.readLeniently(row.value(), JobProgress.class).state());
		}
		catch (JsonProcessingException ex) {
			LOGGER.log(System.Logger.Level.WARNING, "progress of {0} is not readable: {1}", row.key(),
					ex.getOriginalMessage());
		}
	}

	/**
	 * Take in what an owner of the pool says has become durable. States are facts whoever
	 * tells them; the count of a former owner is left out.
	 * @param epoch the owner's epoch
	 * @param told the new states, by job
	 * @param pending the jobs that wait, if they were counted anew
	 */
	public void told(long epoch, Map<String, SubmissionState> told, Optional<QueueSummary> pending) {
		told.forEach(this::note);
		boolean isNewest = this.newestEpoch.accumulateAndGet(epoch, Math::max) == epoch;
		if (isNewest) {
			pending.ifPresent((counted) -> this.summary = counted);
		}
	}

	/**
	 * Note a state.
	 * @param job the job's id
	 * @param state the state
	 */
	public void note(String job, SubmissionState state) {
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
		return this.summary.pending().getOrDefault(queue, 0);
	}

}
