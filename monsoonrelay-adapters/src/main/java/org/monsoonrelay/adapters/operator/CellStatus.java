package org.monsoonrelay.adapters.operator;

import java.util.List;

import org.monsoonrelay.logic.queue.JobStatus;

/**
 * Status of the whole cell. Immutable.
 *
 * @param version version of the last accepted edit that this process knows
 * @param textVersion version of the edit that brought the text
 * @param processes the processes heard of
 * @param missing addresses of processes that are not heard of or did not answer
 * @param jobs the jobs of all queues whose owners answered
 * @param workers what is known of the workers' room
 */
public record CellStatus(long version, long textVersion, List<ProcessStatus> processes, List<String> missing,
		List<JobStatus> jobs, WorkersRoom workers) {

	public CellStatus {
		processes = List.copyOf(processes);
		missing = List.copyOf(missing);
		jobs = List.copyOf(jobs);
	}

}
