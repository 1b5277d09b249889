package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Takes the server with the least expected load, counted in requests: those of this
 * gateway in flight, up to one more after a refusal, which is forgotten as time passes,
 * one less just after an answer, which frees a slot, and a part of one more in another
 * failure domain, so that load spills there before the own one is full. Not thread-safe.
 */
public final class LeastExpectedLoadChoice implements ServerChoice {

	private static final double DISTANCE = 0.3;

	private static final double REFUSAL_MEMORY_NANOS = 10e6;

	private static final Duration FREED = Duration.ofMillis(2);

	private static final double TIE = 0.01;

	private final UniformRandomProvider random;

	/**
	 * Create a choice.
	 * @param random decides between servers that are alike
	 */
	public LeastExpectedLoadChoice(UniformRandomProvider random) {
		this.random = random;
	}

	@Override
	public <S extends ServerLoad> Optional<S> choose(List<S> able, Instant now) {
		return able.stream()
			.map((server) -> new Scored<>(server, expected(server, now) + TIE * this.random.nextDouble()))
			.min(Comparator.comparingDouble(Scored::load))
			.map(Scored::server);
	}

	private static double expected(ServerLoad server, Instant now) {
		double load = server.inFlight();
		if (!server.isNear()) {
			load += DISTANCE;
		}
		if (server.freedAt().isAfter(now.minus(FREED))) {
			load--;
		}
		if (server.refusedAt().equals(Instant.MIN)) {
			return load;
		}
		return load + Math.exp(-Duration.between(server.refusedAt(), now).toNanos() / REFUSAL_MEMORY_NANOS);
	}

	private record Scored<S>(S server, double load) {

	}

}
