package org.monsoonrelay.benchmarks.routing;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.routing.ServerLoad;
import org.monsoonrelay.logic.routing.ServerSelector;

/**
 * Baseline: a random subset of the servers in turn. Not thread-safe.
 */
final class SubsetChoice implements ServerSelector {

	private final int size;

	private final UniformRandomProvider random;

	private final Set<ServerLoad> subset = new HashSet<>();

	private int turn;

	SubsetChoice(int size, UniformRandomProvider random) {
		this.size = size;
		this.random = random;
	}

	@Override
	public <S extends ServerLoad> Optional<S> select(List<S> able, Instant now) {
		while (this.subset.size() < Math.min(this.size, able.size())) {
			this.subset.add(able.get(this.random.nextInt(able.size())));
		}
		List<S> own = able.stream().filter(this.subset::contains).toList();
		return own.isEmpty() ? Optional.empty() : Optional.of(own.get(Math.floorMod(this.turn++, own.size())));
	}

}
