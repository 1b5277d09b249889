package org.monsoonrelay.model.control;

import java.util.Set;
import java.util.TreeSet;

import org.monsoonrelay.model.job.JobId;

/**
 * The complete control state that operators have put in force. Immutable.
 *
 * @param text the configuration text, unchanged as the operators submitted it
 * @param textVersion version of the edit that applied the text
 * @param cancelled permanently cancelled jobs
 * @param stopped workloads that are stopped until a later text is applied
 */
public record ControlState(String text, long textVersion, Set<String> cancelled, Set<String> stopped) {

	/**
	 * State before the first edit.
	 */
	public static final ControlState NONE = new ControlState("{\"cell\":\"\"}", 0, Set.of(), Set.of());

	public ControlState {
		cancelled = Set.copyOf(cancelled);
		stopped = Set.copyOf(stopped);
	}

	/**
	 * Whether a job may run.
	 * @param id the job
	 * @return {@code false} if the job is cancelled or its workload is stopped
	 */
	public boolean permits(JobId id) {
		return !this.cancelled.contains(id.toString()) && !this.stopped.contains(id.name());
	}

	/**
	 * Replace the configuration text and resume stopped workloads. Cancellations are
	 * kept, because a cancelled job is never resumed.
	 * @param newText the new text
	 * @param version version of the edit
	 * @return the new state
	 */
	public ControlState withText(String newText, long version) {
		return new ControlState(newText, version, this.cancelled, Set.of());
	}

	/**
	 * Cancel jobs permanently.
	 * @param ids the jobs
	 * @return the new state
	 */
	public ControlState withCancelled(Set<String> ids) {
		return new ControlState(this.text, this.textVersion, union(this.cancelled, ids), this.stopped);
	}

	/**
	 * Stop workloads until the next configuration text.
	 * @param names the workloads' names
	 * @return the new state
	 */
	public ControlState withStopped(Set<String> names) {
		return new ControlState(this.text, this.textVersion, this.cancelled, union(this.stopped, names));
	}

	private static Set<String> union(Set<String> first, Set<String> second) {
		Set<String> all = new TreeSet<>(first);
		all.addAll(second);
		return all;
	}

}
