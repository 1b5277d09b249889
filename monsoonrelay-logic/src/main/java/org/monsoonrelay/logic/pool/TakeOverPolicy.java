package org.monsoonrelay.logic.pool;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * What this host does about a pool that is free. Hosts that stand ready go first, and
 * large ones before small ones. Invariant: a host that is not to go first takes the pool
 * only if the table has been taking writes for as long as it leaves the pool to others.
 * Until the table does, none of them could take it, however long it has been free. Not
 * thread-safe: confined to the control thread.
 */
final class TakeOverPolicy {

	/**
	 * How long a host that does not stand ready leaves a free pool to others,
	 * milliseconds: three checks.
	 */
	static final long NON_STANDBY_DELAY_MILLIS = 300;

	/**
	 * How long one that stands ready leaves it to the first of them, milliseconds: what a
	 * take-over takes beside a table that is well.
	 */
	static final long STANDBY_DELAY_MILLIS = 100;

	/**
	 * How long a host that is far smaller than the largest leaves it to large ones,
	 * milliseconds: a host whose call to the table hangs knows after 2.5 s that it
	 * answers again, and then takes the pool within two checks.
	 */
	static final long SMALL_HOST_DELAY_MILLIS = 2700;

	private final HostRecord self;

	private final PoolClock clock;

	private OptionalLong sinceNanos = OptionalLong.empty();

	private long version;

	private boolean tableWritable;

	TakeOverPolicy(HostRecord self, PoolClock clock) {
		this.self = self;
		this.clock = clock;
	}

	/**
	 * Note that the pool is not free, or that the table does not answer.
	 */
	void reset() {
		this.sinceNanos = OptionalLong.empty();
	}

	/**
	 * Note that the table takes writes.
	 */
	void recordWritable() {
		if (this.sinceNanos.isPresent()) {
			this.tableWritable = true;
			this.sinceNanos = OptionalLong.of(this.clock.nanos());
		}
	}

	/**
	 * Note that the pool is free now.
	 * @param record the owner's row
	 * @param recordVersion its version; with another one, time counts anew
	 * @return what to do
	 */
	Action nextAction(OwnerRecord record, long recordVersion) {
		long now = this.clock.nanos();
		if (this.sinceNanos.isEmpty() || this.version != recordVersion) {
			this.sinceNanos = OptionalLong.of(now);
			this.version = recordVersion;
			this.tableWritable = false;
		}
		long waited = TimeUnit.NANOSECONDS.toMillis(now - this.sinceNanos.getAsLong());
		boolean isLarge = this.self.size().isLargeComparedTo(record.largest());
		boolean isReady = record.standbys().isEmpty() || record.standbys().contains(this.self.host());
		if (isLarge && isReady) {
			boolean isFirst = record.standbys().indexOf(this.self.host()) <= 0;
			return (isFirst || waited >= STANDBY_DELAY_MILLIS) ? Action.TAKE_OVER : Action.WAIT;
		}
		if (!this.tableWritable) {
			return (waited >= NON_STANDBY_DELAY_MILLIS) ? Action.PROBE_TABLE : Action.WAIT;
		}
		return (waited >= (isLarge ? NON_STANDBY_DELAY_MILLIS : SMALL_HOST_DELAY_MILLIS)) ? Action.TAKE_OVER
				: Action.WAIT;
	}

	/** What to do about a free pool. */
	enum Action {

		/** Leave it to others for now. */
		WAIT,

		/** Find out whether the table takes writes. */
		PROBE_TABLE,

		/** Take it over. */
		TAKE_OVER

	}

}
