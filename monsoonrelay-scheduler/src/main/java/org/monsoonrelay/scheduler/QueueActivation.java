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
	 * How long answers to the claim are waitedNanos for if all racks are known: two
	 * rounds.
	 */
	static final Duration CLAIM_WAIT = Duration.ofSeconds(2);

	/** After this long a queue begins whoever has not told. */
	static final Duration MAX_WAIT = Duration.ofSeconds(10);

	private final Map<String, Long> ownedSinceNanos = new TreeMap<>();

	private final LongSupplier nanoTime;

	private final Predicate<String> isActive;

	private final Consumer<String> activate;

	private final Consumer<String> claim;

	/**
	 * Begin without queues.
	 * @param nanoTime the steady clock
	 * @param isActive tells whether a team's queue places work
	 * @param activate lets it do so
	 * @param claim asks the racks' owners what runs of a team
	 */
	QueueActivation(LongSupplier nanoTime, Predicate<String> isActive, Consumer<String> activate,
			Consumer<String> claim) {
		this.nanoTime = nanoTime;
		this.isActive = isActive;
		this.activate = activate;
		this.claim = claim;
	}

	void ownershipAcquired(String team) {
		this.ownedSinceNanos.putIfAbsent(team, this.nanoTime.getAsLong());
	}

	void ownershipReleased(String team) {
		this.ownedSinceNanos.remove(team);
	}

	/**
	 * Activate the queues that may begin and ask again for the others.
	 * @param allRacksKnown whether each rack has an owner that was heard of
	 */
	void runRound(boolean allRacksKnown) {
		long now = this.nanoTime.getAsLong();
		this.ownedSinceNanos.forEach((team, ownedSince) -> {
			if (this.isActive.test(team)) {
				return;
			}
			long waitedNanos = now - ownedSince;
			if ((allRacksKnown && waitedNanos > CLAIM_WAIT.toNanos()) || waitedNanos > MAX_WAIT.toNanos()) {
				this.activate.accept(team);
			}
			else {
				this.claim.accept(team);
			}
		});
	}

}
