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
final class FreePool {

	/**
	 * How long a host that does not stand ready leaves a free pool to others,
	 * milliseconds: three checks.
	 */
	static final long YIELD_MILLIS = 300;

	/**
	 * How long one that stands ready leaves it to the first of them, milliseconds: what a
	 * take-over takes beside a table that is well.
	 */
	static final long YIELD_TO_FIRST_MILLIS = 100;

	/**
	 * How long a host that is far smaller than the largest leaves it to large ones,
	 * milliseconds: a host whose call to the table hangs knows after 2.5 s that it
	 * answers again, and then takes the pool within two checks.
	 */
	static final long YIELD_TO_LARGE_MILLIS = 2700;

	private final HostRecord self;

	private final PoolClock clock;

	private OptionalLong sinceNanos = OptionalLong.empty();

	private long version;

	private boolean writable;

	FreePool(HostRecord self, PoolClock clock) {
		this.self = self;
		this.clock = clock;
	}

	/**
	 * Note that the pool is not free, or that the table does not answer.
	 */
	void unavailable() {
		this.sinceNanos = OptionalLong.empty();
	}

	/**
	 * Note that the table takes writes.
	 */
	void writable() {
		if (this.sinceNanos.isPresent()) {
			this.writable = true;
			this.sinceNanos = OptionalLong.of(this.clock.nanos());
		}
	}

	/**
	 * Note that the pool is free now.
	 * @param record the owner's row
	 * @param recordVersion its version; with another one, time counts anew
	 * @return what to do
	 */
	Step next(OwnerRecord record, long recordVersion) {
		long now = this.clock.nanos();
		if (this.sinceNanos.isEmpty() || this.version != recordVersion) {
			this.sinceNanos = OptionalLong.of(now);
			this.version = recordVersion;
			this.writable = false;
		}
		long waited = TimeUnit.NANOSECONDS.toMillis(now - this.sinceNanos.getAsLong());
		boolean isLarge = this.self.size().isLargeBeside(record.largest());
		boolean isReady = record.standbys().isEmpty() || record.standbys().contains(this.self.host());
		if (isLarge && isReady) {
			boolean isFirst = record.standbys().indexOf(this.self.host()) <= 0;
			return (isFirst || waited >= YIELD_TO_FIRST_MILLIS) ? Step.TAKE : Step.LEAVE;
		}
		if (!this.writable) {
			return (waited >= YIELD_MILLIS) ? Step.TRY_TABLE : Step.LEAVE;
		}
		return (waited >= (isLarge ? YIELD_MILLIS : YIELD_TO_LARGE_MILLIS)) ? Step.TAKE : Step.LEAVE;
	}

	/** What to do about a free pool. */
	enum Step {

		/** Leave it to others for now. */
		LEAVE,

		/** Find out whether the table takes writes. */
		TRY_TABLE,

		/** Take it over. */
		TAKE

	}

}
