package org.monsoonrelay.logic.submission;

import org.monsoonrelay.model.submission.JobProgress;

/**
 * Progress of a job as a row of the table holds it. Immutable.
 *
 * @param progress the progress
 * @param version version of the row
 */
public record StoredProgress(JobProgress progress, long version) {

}
