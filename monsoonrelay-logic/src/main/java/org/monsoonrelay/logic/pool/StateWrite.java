package org.monsoonrelay.logic.pool;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.logic.writes.FailedWrite;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * One write of the owner with what becomes durable by it. Immutable.
 *
 * @param rows the rows and their condition
 * @param record the owner record among them
 * @param jobs the jobs whose progress it contains
 * @param summary the number of waiting jobs when it was composed, if it is known
 * @param isCountWritten whether the write contains that number
 * @param terminations which terminations of each worker it contains
 * @param lastLoss the last loss that it confirms
 */
record StateWrite(PartitionWrite rows, OwnerRecord record, Map<SubmittedJob, JobRowComposer.WrittenJob> jobs,
		Optional<QueueSummary> summary, boolean isCountWritten,
		Map<TerminationSequence, TerminationSequence.Written> terminations, long lastLoss) {

	Set<String> jobIds() {
		return this.jobs.keySet().stream().map(SubmittedJob::id).collect(Collectors.toCollection(LinkedHashSet::new));
	}

	FailedWrite failed(String reason) {
		return FailedWrite.of(this.rows, this.jobs.size(), reason);
	}

	Optional<QueueCount> writtenCount(long version) {
		return this.summary.filter((counted) -> this.isCountWritten).map((counted) -> new QueueCount(counted, version));
	}

}
