package org.monsoonrelay.benchmarks.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.routing.ServerLoad;
import org.monsoonrelay.logic.routing.ServerSelector;

/**
 * Baseline: of two random servers the one with fewer requests of this gateway in flight.
 * Not thread-safe.
 *
 * @param random the randomness
 */
record TwoRandomChoice(UniformRandomProvider random) implements ServerSelector {

	@Override
	public <S extends ServerLoad> Optional<S> select(List<S> able, Instant now) {
		if (able.isEmpty()) {
			return Optional.empty();
		}
		S one = able.get(this.random.nextInt(able.size()));
		S other = able.get(this.random.nextInt(able.size()));
		return Optional.of((other.inFlight() < one.inFlight()) ? other : one);
	}

}
