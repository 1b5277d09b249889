package org.monsoonrelay.logic.pool;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this host takes over a pool that has no owner. Standby hosts take
 * precedence over others, and large hosts over small ones. Invariant: a host without
 * precedence takes the pool over only after the table has accepted writes for as long as
 * this host has to leave the pool to others. As long as the table rejects writes, no host
 * could take the pool over, so that time spent waiting before does not count. Not
 * thread-safe: confined to the control thread.
 */
final class TakeOverPolicy {

	/**
	 * How long a host that is not a standby leaves a pool without an owner to others, in
	 * milliseconds: three checks.
	 */
	static final long NON_STANDBY_DELAY_MILLIS = 300;

	/**
	 * How long a standby leaves the pool to the first standby, in milliseconds: the
	 * duration of a take-over while the table works normally.
	 */
	static final long STANDBY_DELAY_MILLIS = 100;

	/**
	 * How long a host that is far smaller than the largest one leaves the pool to large
	 * hosts, in milliseconds: a host whose call to the table hangs detects after 2.5 s
	 * that the table answers again, and then takes the pool over within two checks.
	 */
	static final long SMALL_HOST_DELAY_MILLIS = 2700;

	private final HostRecord self;

	private final PoolClock clock;

	private OptionalLong waitStartNanos = OptionalLong.empty();

	private long version;

	private boolean tableWritable;

	TakeOverPolicy(HostRecord self, PoolClock clock) {
		this.self = self;
		this.clock = clock;
	}

	/**
	 * Resets the wait, because the pool has an owner or the table does not answer.
	 */
	void reset() {
		this.waitStartNanos = OptionalLong.empty();
	}

	/**
	 * Records that the table accepts writes; the wait starts again from now.
	 */
	void recordWritable() {
		if (this.waitStartNanos.isPresent()) {
			this.tableWritable = true;
			this.waitStartNanos = OptionalLong.of(this.clock.nanos());
		}
	}

	/**
	 * Returns the next action for a pool that has no owner now.
	 * @param record the owner's row
	 * @param recordVersion version of the row; a change restarts the wait
	 * @return the action
	 */
	Action nextAction(OwnerRecord record, long recordVersion) {
		long now = this.clock.nanos();
		if (this.waitStartNanos.isEmpty() || this.version != recordVersion) {
			this.waitStartNanos = OptionalLong.of(now);
			this.version = recordVersion;
			this.tableWritable = false;
		}
		long waitedMillis = TimeUnit.NANOSECONDS.toMillis(now - this.waitStartNanos.getAsLong());
		boolean isLarge = this.self.size().isLargeComparedTo(record.largest());
		boolean isStandby = record.standbys().isEmpty() || record.standbys().contains(this.self.host());
		if (isLarge && isStandby) {
			boolean isFirst = record.standbys().indexOf(this.self.host()) <= 0;
			return (isFirst || waitedMillis >= STANDBY_DELAY_MILLIS) ? Action.TAKE_OVER : Action.WAIT;
		}
		if (!this.tableWritable) {
			return (waitedMillis >= NON_STANDBY_DELAY_MILLIS) ? Action.PROBE_TABLE : Action.WAIT;
		}
		return (waitedMillis >= (isLarge ? NON_STANDBY_DELAY_MILLIS : SMALL_HOST_DELAY_MILLIS)) ? Action.TAKE_OVER
				: Action.WAIT;
	}

	/** Action for a pool without an owner. */
	enum Action {

		/** Leave the pool to others for now. */
		WAIT,

		/** Check whether the table accepts writes. */
		PROBE_TABLE,

		/** Take the pool over. */
		TAKE_OVER

	}

}
