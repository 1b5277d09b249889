package org.monsoonrelay.benchmarks.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.routing.ServerChoice;
import org.monsoonrelay.logic.routing.ServerLoad;

/**
 * Baseline: any server, whatever is known of it. Not thread-safe.
 *
 * @param random the randomness
 */
record RandomChoice(UniformRandomProvider random) implements ServerChoice {

	@Override
	public <S extends ServerLoad> Optional<S> choose(List<S> able, Instant now) {
		return able.isEmpty() ? Optional.empty() : Optional.of(able.get(this.random.nextInt(able.size())));
	}

}
