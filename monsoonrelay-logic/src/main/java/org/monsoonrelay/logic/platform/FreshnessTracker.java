package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tracks as of when the content of a followed table is known. Invariant: everything that
 * the table accepted until then has been delivered to the listener. An age counts the
 * time of a suspension if a wall clock is given, by which it may only grow. The age may
 * be read from any thread; calls are recorded by one thread, one call at a time, and
 * additional reads beside them.
 */
public final class FreshnessTracker {

	private final LongSupplier nanoTime;

	private final LongSupplier wallMillis;

	private Moment sent = new Moment(0, 0);

	private Moment waitEnd = this.sent;

	private volatile Optional<Moment> confirmed = Optional.empty();

	/**
	 * Create a tracker of a table of which nothing is known yet.
	 * @param nanoTime the monotonic clock, nanoseconds
	 */
	public FreshnessTracker(LongSupplier nanoTime) {
		this(nanoTime, () -> 0);
	}

	/**
	 * Create a tracker of a table of which nothing is known yet.
	 * @param nanoTime the monotonic clock, nanoseconds, which may stand still while the
	 * machine is suspended
	 * @param wallMillis the wall clock, epoch milliseconds
	 */
	public FreshnessTracker(LongSupplier nanoTime, LongSupplier wallMillis) {
		this.nanoTime = nanoTime;
		this.wallMillis = wallMillis;
	}

	/**
	 * Record that a call is sent whose answer contains all changes up to its composition.
	 * @param wait the longest time for which the table holds the answer back
	 */
	public void callSent(Duration wait) {
		this.sent = now();
		this.waitEnd = new Moment(this.sent.nanos() + wait.toNanos(), this.sent.wallMillis() + wait.toMillis());
	}

	/**
	 * Record that the complete answer to the last call has been delivered. The table
	 * composes an empty answer at the end of the wait. Any other one may have been
	 * composed as soon as the call was sent, and held up on the way.
	 * @param empty whether there was no change
	 */
	public void answerDelivered(boolean empty) {
		boolean hasWaited = empty && this.nanoTime.getAsLong() - this.waitEnd.nanos() >= 0;
		confirm(hasWaited ? this.waitEnd : this.sent);
	}

	/**
	 * The time of both clocks, to be taken before an additional read is sent.
	 * @return the time
	 */
	public Moment now() {
		return new Moment(this.nanoTime.getAsLong(), this.wallMillis.getAsLong());
	}

	/**
	 * Record that everything accepted until a moment has been delivered.
	 * @param moment the moment; ignored if a later one is confirmed
	 */
	public void confirm(Moment moment) {
		if (this.confirmed.filter((known) -> ageNanos(known) <= ageNanos(moment)).isEmpty()) {
			this.confirmed = Optional.of(moment);
		}
	}

	private long ageNanos(Moment moment) {
		return Math.max(this.nanoTime.getAsLong() - moment.nanos(),
				TimeUnit.MILLISECONDS.toNanos(this.wallMillis.getAsLong() - moment.wallMillis()));
	}

	/**
	 * The time as of which the known content was last confirmed.
	 * @return monotonic time, nanoseconds, empty if nothing has been confirmed yet
	 */
	public OptionalLong confirmedNanos() {
		return this.confirmed.map((moment) -> OptionalLong.of(moment.nanos())).orElse(OptionalLong.empty());
	}

	/**
	 * The time since the table last confirmed the known content.
	 * @return the age in milliseconds, empty if nothing has been confirmed yet
	 */
	public OptionalLong ageMillis() {
		return this.confirmed.map((moment) -> OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(ageNanos(moment))))
			.orElse(OptionalLong.empty());
	}

	/**
	 * A moment on both clocks. Immutable.
	 *
	 * @param nanos the monotonic clock, nanoseconds
	 * @param wallMillis the wall clock, epoch milliseconds
	 */
	public record Moment(long nanos, long wallMillis) {

	}

}
