package org.monsoonrelay.benchmarks.routing;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.routing.ServerLoad;
import org.monsoonrelay.logic.routing.ServerSelector;

/**
 * Baseline: the server with the fewest requests of this gateway in flight. Not
 * thread-safe.
 *
 * @param random decides between servers that are alike
 */
record LeastInFlightChoice(UniformRandomProvider random) implements ServerSelector {

	@Override
	public <S extends ServerLoad> Optional<S> select(List<S> able, Instant now) {
		int least = able.stream().mapToInt(ServerLoad::inFlight).min().orElse(0);
		List<S> best = able.stream()
			.filter((server) -> server.inFlight() == least)
			.sorted(Comparator.comparing((server) -> !server.isInSameFailureDomain()))
			.toList();
		int near = (int) best.stream().filter(ServerLoad::isInSameFailureDomain).count();
		int alike = (near > 0) ? near : best.size();
		return best.isEmpty() ? Optional.empty() : Optional.of(best.get(this.random.nextInt(alike)));
	}

}
