package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Which terminations of one incarnation of a worker are processed, durable or deferred. A
 * worker numbers its terminations from 1 in each incarnation, in ascending order and
 * possibly with gaps. Those that former incarnations reported are kept, without their
 * numbers, until they can be processed. Invariant: no termination counts as processed
 * while one with a lower number is deferred, or may be missing in the report. Not
 * thread-safe: confined to the control thread.
 */
final class TerminationSequence {

	/**
	 * Time within which a worker lists the end of a run that it no longer lists as
	 * active, nanoseconds. A report proves that there is no such end only if it was
	 * requested so long after another one lacked it.
	 */
	static final long MAX_LISTING_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private long processed;

	private long durable;

	private long durableVersion;

	private long acknowledged;

	// Sequence numbers that are processed although an earlier one is deferred or missing,
	// with the monotonic times at which they were processed.
	private final NavigableMap<Long, Long> processedAhead = new TreeMap<>();

	// Numbers that were passed although no report listed them, until the worker has
	// received their acknowledgement.
	private final List<Gap> gaps = new ArrayList<>();

	// Numbers in gaps that were processed after they had been passed, until they are
	// durable.
	private final NavigableSet<Long> lateNumbers = new TreeSet<>();

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
		boolean isPassed = termination.sequence() <= this.processed
				&& this.gaps.stream().noneMatch((gap) -> gap.contains(termination.sequence()));
		return isPassed || this.processedAhead.containsKey(termination.sequence());
	}

	/**
	 * Records that a reported termination is processed.
	 * @param termination the termination
	 * @param nowNanos the current monotonic time
	 */
	void markProcessed(TerminatedTask termination, long nowNanos) {
		if (termination.sequence() > this.processed) {
			this.processedAhead.put(termination.sequence(), nowNanos);
		}
		else {
			this.lateNumbers.add(termination.sequence());
		}
		this.undurable.put(termination.sequence(), termination.task());
	}

	/**
	 * Defers terminations that were reported but cannot be processed yet.
	 * @param terminations the deferred terminations by ascending sequence number
	 */
	void defer(List<TerminatedTask> terminations) {
		this.deferred = List.copyOf(terminations);
		passProcessed();
	}

	private void passProcessed() {
		while (this.processedAhead.containsKey(this.processed + 1)) {
			this.processed = this.processedAhead.pollFirstEntry().getKey();
		}
	}

	/**
	 * Returns whether the lowest number that is not processed is missing in reports that
	 * list higher ones.
	 * @return {@code false} also if that number is deferred
	 */
	boolean hasGap() {
		return !this.processedAhead.isEmpty() && this.processedAhead.firstKey() < firstDeferred();
	}

	private long firstDeferred() {
		return this.deferred.isEmpty() ? Long.MAX_VALUE : this.deferred.get(0).sequence();
	}

	/**
	 * Passes missing numbers if they are still missing in a report that was requested
	 * long enough after a higher one was processed. To be called when the report is
	 * processed.
	 * @param requestedNanos monotonic time at which the report was requested
	 * @return the numbers that were passed
	 */
	List<Gap> passGaps(long requestedNanos) {
		List<Gap> passed = new ArrayList<>();
		while (hasGap() && requestedNanos - this.processedAhead.firstEntry().getValue() >= MAX_LISTING_DELAY_NANOS) {
			long next = this.processedAhead.firstKey();
			passed.add(new Gap(this.processed + 1, next - 1));
			this.processed = next - 1;
			passProcessed();
		}
		this.gaps.addAll(passed);
		return passed;
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
	 * @param written the terminations in the write
	 * @param rowVersion version of the rows that hold the effects
	 */
	void markDurable(Written written, long rowVersion) {
		if (written.last() > this.durable) {
			this.durable = written.last();
			this.durableVersion = rowVersion;
		}
		this.lateNumbers.removeAll(written.lateNumbers());
		this.undurable.headMap(written.last(), true).keySet().removeIf((number) -> !this.lateNumbers.contains(number));
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
	 * Returns the terminations in a write that is composed now, which holds all that is
	 * processed, but for some jobs.
	 * @param unwritten ids of jobs that the write leaves out although they have changed
	 * @return the terminations, to be passed to {@link #markDurable} once this write is
	 * durable
	 */
	Written written(Set<String> unwritten) {
		if (unwritten.isEmpty()) {
			return new Written(this.processed, this.lateNumbers);
		}
		Set<Long> late = this.lateNumbers.stream()
			.filter((number) -> !isOf(unwritten, this.undurable.get(number)))
			.collect(Collectors.toSet());
		long last = this.undurable.entrySet()
			.stream()
			.filter((entry) -> isOf(unwritten, entry.getValue()))
			.findFirst()
			.map((entry) -> Math.min(this.processed, entry.getKey() - 1))
			.orElse(this.processed);
		return new Written(last, late);
	}

	private static boolean isOf(Set<String> jobs, TaskKey task) {
		return task != null && jobs.contains(task.job());
	}

	/**
	 * Returns the sequence number up to which all terminations are durable.
	 * @return the sequence number, 0 for none
	 */
	long durable() {
		long firstLate = this.lateNumbers.isEmpty() ? Long.MAX_VALUE : this.lateNumbers.first();
		return Math.min(this.durable, Math.min(firstLate, firstDeferred()) - 1);
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

	/**
	 * Records that the worker has received an acknowledgement, so that it has discarded
	 * these terminations.
	 * @param sequence sequence number of the last one
	 */
	void acknowledgementReceived(long sequence) {
		this.gaps.removeIf((gap) -> gap.last() <= sequence);
	}

	boolean isDurable() {
		return this.processed <= durable();
	}

	/**
	 * Numbers that no report listed. Immutable.
	 *
	 * @param first the first number
	 * @param last the last number
	 */
	record Gap(long first, long last) {

		boolean contains(long number) {
			return this.first <= number && number <= this.last;
		}

	}

	/**
	 * The terminations in one write. Immutable.
	 *
	 * @param last sequence number up to which all of them are processed and in the write
	 * @param lateNumbers lower numbers that were processed after they had been passed
	 */
	record Written(long last, Set<Long> lateNumbers) {

		Written {
			lateNumbers = Set.copyOf(lateNumbers);
		}

	}

}
