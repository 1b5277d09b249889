package org.monsoonrelay.benchmarks.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.routing.ServerLoad;
import org.monsoonrelay.logic.routing.ServerSelector;

/**
 * Baseline: any server, whatever is known of it. Not thread-safe.
 *
 * @param random the randomness
 */
record RandomChoice(UniformRandomProvider random) implements ServerSelector {

	@Override
	public <S extends ServerLoad> Optional<S> select(List<S> able, Instant now) {
		return able.isEmpty() ? Optional.empty() : Optional.of(able.get(this.random.nextInt(able.size())));
	}

}
