package org.monsoonrelay.model.control;

import java.util.Set;
import java.util.TreeSet;

import org.monsoonrelay.model.job.JobId;

/**
 * All that operators have in force. Immutable.
 *
 * @param text the operators' text as they wrote it
 * @param textVersion version of the edit that brought the text
 * @param cancelled jobs cancelled for good
 * @param stopped workloads stopped until a later text names them anew
 */
public record ControlState(String text, long textVersion, Set<String> cancelled, Set<String> stopped) {

	/**
	 * Nothing in force.
	 */
	public static final ControlState NONE = new ControlState("{\"cell\":\"\"}", 0, Set.of(), Set.of());

	public ControlState {
		cancelled = Set.copyOf(cancelled);
		stopped = Set.copyOf(stopped);
	}

	/**
	 * Tell whether a job may run.
	 * @param id the job
	 * @return {@code false} if it is cancelled or its workload is stopped
	 */
	public boolean permits(JobId id) {
		return !this.cancelled.contains(id.toString()) && !this.stopped.contains(id.name());
	}

	/**
	 * Replace the text. Cancellations stay, because a cancelled job never comes back.
	 * @param newText the new text
	 * @param version version of the edit
	 * @return the new state
	 */
	public ControlState withText(String newText, long version) {
		return new ControlState(newText, version, this.cancelled, Set.of());
	}

	/**
	 * Cancel jobs for good.
	 * @param ids the jobs
	 * @return the new state
	 */
	public ControlState withCancelled(Set<String> ids) {
		return new ControlState(this.text, this.textVersion, union(this.cancelled, ids), this.stopped);
	}

	/**
	 * Stop workloads until the next text.
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
