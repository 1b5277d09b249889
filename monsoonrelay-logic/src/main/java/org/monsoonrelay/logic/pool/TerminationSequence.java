package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Which terminations of one incarnation of a worker are processed, durable or deferred. A
 * worker numbers its terminations from 1 in each incarnation. Those that former
 * incarnations reported are kept, without their numbers, until they can be processed. Not
 * thread-safe: confined to the control thread.
 */
final class TerminationSequence {

	private long processed;

	private long durable;

	private long durableVersion;

	private long acknowledged;

	// Sequence numbers that are processed although an earlier one may be deferred.
	private final TreeSet<Long> processedAhead = new TreeSet<>();

	// Tasks whose terminations are processed, by their numbers, until they are durable.
	private final NavigableMap<Long, TaskKey> undurable = new TreeMap<>();

	private List<TerminatedTask> deferred = List.of();

	private List<TerminatedTask> inherited;

	TerminationSequence() {
		this(List.of());
	}

	private TerminationSequence(List<TerminatedTask> inherited) {
		this.inherited = inherited;
	}

	/**
	 * Returns the sequence of the worker's next incarnation.
	 * @return the sequence, which has the deferred terminations of this one
	 */
	TerminationSequence ofNextIncarnation() {
		return new TerminationSequence(Stream.concat(this.inherited.stream(), this.deferred.stream()).toList());
	}

	boolean hasProcessed(TerminatedTask termination) {
		return termination.sequence() <= this.processed || this.processedAhead.contains(termination.sequence());
	}

	void markProcessed(TerminatedTask termination) {
		this.processedAhead.add(termination.sequence());
		this.undurable.put(termination.sequence(), termination.task());
	}

	/**
	 * Defers terminations that were reported but cannot be processed yet. Only
	 * terminations before the first deferred one count as processed without gaps.
	 * @param terminations the deferred terminations by ascending sequence number
	 */
	void defer(List<TerminatedTask> terminations) {
		this.deferred = List.copyOf(terminations);
		long firstDeferred = terminations.isEmpty() ? Long.MAX_VALUE : terminations.get(0).sequence();
		while (!this.processedAhead.isEmpty() && this.processedAhead.first() < firstDeferred) {
			this.processed = this.processedAhead.pollFirst();
		}
	}

	List<TerminatedTask> deferred() {
		return this.deferred;
	}

	/**
	 * Removes deferred terminations of former incarnations.
	 * @param isProcessable matches the ids of jobs whose terminations can be processed
	 * @return the terminations of these jobs
	 */
	List<TerminatedTask> takeInherited(Predicate<String> isProcessable) {
		Map<Boolean, List<TerminatedTask>> parts = this.inherited.stream()
			.collect(Collectors.partitioningBy((termination) -> isProcessable.test(termination.task().job())));
		this.inherited = parts.get(false);
		return parts.get(true);
	}

	/**
	 * Returns the tasks whose terminations are known but not processed yet.
	 * @return the tasks, also those that ended on former incarnations
	 */
	Set<TaskKey> unprocessedTasks() {
		return Stream.concat(this.inherited.stream(), this.deferred.stream())
			.map(TerminatedTask::task)
			.collect(Collectors.toSet());
	}

	/**
	 * Records that the effects of terminations are durable, so that the worker may
	 * discard them.
	 * @param sequence sequence number of the last one
	 * @param rowVersion version of the rows that hold the effects
	 */
	void markDurable(long sequence, long rowVersion) {
		if (sequence > this.durable) {
			this.durable = sequence;
			this.durableVersion = rowVersion;
		}
		this.undurable.headMap(sequence, true).clear();
	}

	/**
	 * Returns the tasks whose terminations are processed but not known to be durable.
	 * @return the tasks
	 */
	Collection<TaskKey> undurableTasks() {
		return this.undurable.values();
	}

	/**
	 * Returns the sequence number up to which all terminations are processed.
	 * @return the sequence number, 0 for none
	 */
	long processed() {
		return this.processed;
	}

	/**
	 * Returns the sequence number up to which all terminations are durable.
	 * @return the sequence number, 0 for none
	 */
	long durable() {
		return this.durable;
	}

	/**
	 * Returns the version of the rows with which the last termination became durable.
	 * @return the version, 0 if none is durable
	 */
	long durableVersion() {
		return this.durableVersion;
	}

	/**
	 * Records that terminations are acknowledged to the worker.
	 * @param sequence sequence number of the last one
	 * @return the highest number that was acknowledged before
	 */
	long acknowledge(long sequence) {
		long former = this.acknowledged;
		this.acknowledged = Math.max(former, sequence);
		return former;
	}

	boolean isDurable() {
		return this.processed <= this.durable;
	}

}
