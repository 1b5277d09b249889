package org.monsoonrelay.logic.pool;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.monsoonrelay.logic.rows.RejectedRows;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * The jobs whose progress has changed since it was written, in the order of their first
 * change, and those of them whose rows the table rejects. Not thread-safe: confined to
 * the control thread.
 */
final class UnwrittenJobs {

	private final Function<String, SubmittedJob> jobs;

	private final Set<String> ids = new LinkedHashSet<>();

	private final RejectedRows rejected = new RejectedRows();

	/**
	 * Creates an empty collection.
	 * @param jobs returns a job by its id
	 */
	UnwrittenJobs(Function<String, SubmittedJob> jobs) {
		this.jobs = jobs;
	}

	void add(String id) {
		this.ids.add(id);
	}

	/**
	 * Removes a job whose progress is to be written next.
	 * @param isSelected matches the ids of jobs that may be written
	 * @return the job, empty if there is none
	 */
	Optional<SubmittedJob> take(Predicate<String> isSelected) {
		Optional<String> taken = this.ids.stream().filter(isSelected).findFirst();
		taken.ifPresent(this.ids::remove);
		return taken.map(this.jobs);
	}

	int count() {
		return this.ids.size();
	}

	boolean isEmpty() {
		return this.ids.isEmpty();
	}

	/**
	 * Returns whether there are other jobs than those that are held back.
	 * @return {@code true} if so
	 */
	boolean hasWritable() {
		return this.ids.stream().anyMatch((id) -> !isHeldBack(id));
	}

	/**
	 * Returns whether the table rejects the rows of a job. None of its tasks may be
	 * started.
	 * @param id the job's id
	 * @return {@code true} until its rows are accepted
	 */
	boolean isHeldBack(String id) {
		return this.rejected.heldBack().contains(id);
	}

	RejectedRows rejected() {
		return this.rejected;
	}

}
