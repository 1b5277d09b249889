package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the server with the least expected load. The load is counted in requests: the
 * requests of this gateway in flight; plus up to one after a refusal, decreasing with
 * time; minus one shortly after a response, which has freed a slot; plus a fraction of a
 * request if the server is in another failure domain, so that load spills over to other
 * domains before the gateway's own domain is full. Not thread-safe.
 */
public final class LeastExpectedLoadSelector implements ServerSelector {

	private static final double OTHER_DOMAIN_PENALTY_REQUESTS = 0.3;

	private static final double REFUSAL_DECAY_NANOS = 10e6;

	private static final Duration FREED_SLOT_WINDOW = Duration.ofMillis(2);

	private static final double TIE_BREAKER_REQUESTS = 0.01;

	private final UniformRandomProvider random;

	/**
	 * Create a selector.
	 * @param random breaks ties between servers with equal load
	 */
	public LeastExpectedLoadSelector(UniformRandomProvider random) {
		this.random = random;
	}

	@Override
	public <S extends ServerLoad> Optional<S> select(List<S> available, Instant now) {
		return available.stream()
			.map((server) -> new Scored<>(server,
					expectedLoad(server, now) + TIE_BREAKER_REQUESTS * this.random.nextDouble()))
			.min(Comparator.comparingDouble(Scored::load))
			.map(Scored::server);
	}

	private static double expectedLoad(ServerLoad server, Instant now) {
		double load = server.inFlight();
		if (!server.isInSameFailureDomain()) {
			load += OTHER_DOMAIN_PENALTY_REQUESTS;
		}
		if (server.slotFreedAt().isAfter(now.minus(FREED_SLOT_WINDOW))) {
			load--;
		}
		if (server.lastRefusedAt().equals(Instant.MIN)) {
			return load;
		}
		return load + Math.exp(-Duration.between(server.lastRefusedAt(), now).toNanos() / REFUSAL_DECAY_NANOS);
	}

	private record Scored<S>(S server, double load) {

	}

}
