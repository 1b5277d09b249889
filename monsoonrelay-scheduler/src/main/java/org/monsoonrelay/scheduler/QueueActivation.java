package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Decides when the queue of an owned team starts to place tasks: once the owners of all
 * racks have had time to report the running tasks, or after a maximum wait if some racks
 * are unknown. Until then each round requests the running tasks again. Not thread-safe:
 * confined to the control thread.
 */
final class QueueActivation {

	/**
	 * Time to wait for reports of running tasks if all racks are known: two rounds.
	 */
	static final Duration CLAIM_WAIT = Duration.ofSeconds(2);

	/** Maximum time to wait, even if some owners have not reported. */
	static final Duration MAX_WAIT = Duration.ofSeconds(10);

	private final Map<String, Long> ownedSinceNanos = new TreeMap<>();

	private final LongSupplier nanoTime;

	private final Predicate<String> isActive;

	private final Consumer<String> activate;

	private final Consumer<String> claim;

	/**
	 * Create an activation without queues.
	 * @param nanoTime the monotonic clock, in nanoseconds
	 * @param isActive whether a team's queue places tasks
	 * @param activate activates a team's queue
	 * @param claim requests the running tasks of a team from the owners of the racks
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
	 * Activate the queues that have waited long enough and request the running tasks of
	 * the others again.
	 * @param allRacksKnown whether the owner of every rack is known
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
