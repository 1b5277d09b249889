package org.monsoonrelay.standin;

import java.util.Map;

import org.monsoonrelay.model.job.JobId;

/**
 * What the workers have counted. Immutable.
 *
 * @param started attempts started
 * @param finished attempts that ended well
 * @param running attempts that run now
 * @param overlapping times a task was started while another attempt at it ran
 * @param finishedTwice tasks that ended well more than once
 * @param overCommitted starts refused because the worker had no room
 * @param finishedTasksByJob number of different tasks that ended well, by job
 * @param overlappingByJob the overlapping starts, by job
 */
public record TaskCounts(int started, int finished, int running, int overlapping, int finishedTwice, int overCommitted,
		Map<String, Integer> finishedTasksByJob, Map<String, Integer> overlappingByJob) {

	/**
	 * Times a task of a job was started while another attempt at it ran.
	 * @param job the job
	 * @return the count
	 */
	public int overlappingOf(JobId job) {
		return this.overlappingByJob.getOrDefault(job.toString(), 0);
	}

	/**
	 * Tasks of a job that ended well, each counted once.
	 * @param job the job
	 * @return the count
	 */
	public int finishedOf(JobId job) {
		return this.finishedTasksByJob.getOrDefault(job.toString(), 0);
	}

}
