package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Decides when an owned team's queue begins to place work: once the racks' owners have
 * had time to tell what runs, or after a limit without them. Until then what runs is
 * asked for each round. Not thread-safe: confined to the control thread.
 */
final class QueueActivation {

	/**
	 * How long answers to the claim are waited for if all racks are known: two rounds.
	 */
	static final Duration CLAIM = Duration.ofSeconds(2);

	/** After this long a queue begins whoever has not told. */
	static final Duration LIMIT = Duration.ofSeconds(10);

	private final Map<String, Long> sinceNanos = new TreeMap<>();

	private final LongSupplier nanos;

	private final Predicate<String> isActive;

	private final Consumer<String> activate;

	private final Consumer<String> claim;

	/**
	 * Begin without queues.
	 * @param nanos the steady clock
	 * @param isActive tells whether a team's queue places work
	 * @param activate lets it do so
	 * @param claim asks the racks' owners what runs of a team
	 */
	QueueActivation(LongSupplier nanos, Predicate<String> isActive, Consumer<String> activate, Consumer<String> claim) {
		this.nanos = nanos;
		this.isActive = isActive;
		this.activate = activate;
		this.claim = claim;
	}

	void owned(String team) {
		this.sinceNanos.putIfAbsent(team, this.nanos.getAsLong());
	}

	void disowned(String team) {
		this.sinceNanos.remove(team);
	}

	/**
	 * Activate the queues that may begin and ask again for the others.
	 * @param allKnown whether each rack has an owner that was heard of
	 */
	void round(boolean allKnown) {
		long now = this.nanos.getAsLong();
		this.sinceNanos.forEach((team, since) -> {
			if (this.isActive.test(team)) {
				return;
			}
			long waited = now - since;
			if ((allKnown && waited > CLAIM.toNanos()) || waited > LIMIT.toNanos()) {
				this.activate.accept(team);
			}
			else {
				this.claim.accept(team);
			}
		});
	}

}
