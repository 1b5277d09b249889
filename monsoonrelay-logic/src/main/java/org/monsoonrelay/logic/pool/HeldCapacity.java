package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.StepKey;

/**
 * Capacity that a worker holds for steps until their eligibility tickets are renewed.
 * Invariant: at most one hold per step. Not thread-safe: confined to the control thread.
 */
final class HeldCapacity {

	private final Map<StepKey, Hold> holds = new HashMap<>();

	void put(StepKey step, Resources size, long untilNanos) {
		this.holds.put(step, new Hold(size, untilNanos));
	}

	/**
	 * Removes the hold of a step.
	 * @param step the step
	 * @return the capacity that was held, empty if none was
	 */
	Optional<Resources> remove(StepKey step) {
		if (this.holds.isEmpty()) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.holds.remove(step)).map(Hold::size);
	}

	Resources total() {
		Resources total = Resources.NONE;
		for (Hold hold : this.holds.values()) {
			total = total.plus(hold.size());
		}
		return total;
	}

	List<StepKey> expired(long nowNanos) {
		if (this.holds.isEmpty()) {
			return List.of();
		}
		List<StepKey> expired = new ArrayList<>();
		this.holds.forEach((step, hold) -> {
			if (nowNanos - hold.untilNanos() > 0) {
				expired.add(step);
			}
		});
		return expired;
	}

	private record Hold(Resources size, long untilNanos) {

	}

}
