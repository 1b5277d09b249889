package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;

/**
 * The backend servers of one service and the slots this gateway uses on them. Invariants:
 * no server gets more than its share of slots from this gateway; a leaving server gets
 * none; at most half of the servers are left out as ejected. Thread-safe.
 */
public final class BackendPool {

	private static final Duration FULL_PAUSE = Duration.ofMillis(5);

	private final int slotsEach;

	private final String ownFailureDomain;

	private final InstantSource clock;

	private final UniformRandomProvider random;

	private final Map<HostAddress, BackendServer> servers = new LinkedHashMap<>();

	public BackendPool(int slotsEach, String ownFailureDomain, InstantSource clock, UniformRandomProvider random) {
		this.slotsEach = slotsEach;
		this.ownFailureDomain = ownFailureDomain;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Take in the hosts that the host list has for the service.
	 * @param hosts the hosts
	 */
	public synchronized void update(Collection<Host> hosts) {
		Set<HostAddress> listed = hosts.stream().map(Host::address).collect(Collectors.toSet());
		this.servers.keySet().retainAll(listed);
		for (Host host : hosts) {
			BackendServer present = this.servers.get(host.address());
			if (present == null) {
				this.servers.put(host.address(), new BackendServer(host));
			}
			else {
				present.update(host);
			}
		}
	}

	/**
	 * Take a slot: least in flight, the own failure domain first where loads are alike.
	 * @param tried servers that this request has tried already
	 * @return the server's address, or empty if no slot is free
	 */
	public synchronized Optional<HostAddress> acquire(Set<HostAddress> tried) {
		Instant now = this.clock.instant();
		List<BackendServer> able = this.servers.values()
			.stream()
			.filter((server) -> !server.isLeaving() && !tried.contains(server.address()))
			.toList();
		List<BackendServer> healthy = able.stream().filter((server) -> !server.isEjected(now)).toList();
		List<BackendServer> candidates = (healthy.size() * 2 >= able.size()) ? healthy : able;
		return choose(candidates, now);
	}

	private Optional<HostAddress> choose(List<BackendServer> candidates, Instant now) {
		List<BackendServer> best = new ArrayList<>();
		Comparator<BackendServer> order = Comparator.comparingInt(BackendServer::inFlight)
			.thenComparing((server) -> !server.host().failureDomain().equals(this.ownFailureDomain));
		for (BackendServer server : candidates) {
			if (server.inFlight() >= this.slotsEach || server.isFull(now)) {
				continue;
			}
			int compared = best.isEmpty() ? 0 : order.compare(server, best.get(0));
			if (compared < 0) {
				best.clear();
			}
			if (compared <= 0) {
				best.add(server);
			}
		}
		if (best.isEmpty()) {
			return Optional.empty();
		}
		BackendServer chosen = best.get(this.random.nextInt(best.size()));
		chosen.begin();
		return Optional.of(chosen.address());
	}

	/**
	 * Give a slot back.
	 * @param address the server
	 * @param result how the attempt ended
	 */
	public synchronized void release(HostAddress address, AttemptResult result) {
		BackendServer server = this.servers.get(address);
		if (server == null) {
			return;
		}
		server.end();
		Instant now = this.clock.instant();
		if (result instanceof AttemptResult.Whole) {
			server.succeeded();
		}
		else if (result instanceof AttemptResult.Refused refused) {
			if (refused.leaving()) {
				server.leave();
			}
			else {
				server.full(now.plus(FULL_PAUSE));
			}
		}
		else if (!(result instanceof AttemptResult.Silent)) {
			server.failed(now);
		}
	}

	/**
	 * Tell whether any server may be given work, now or when a slot comes free.
	 * @return {@code false} if none is listed or all are leaving
	 */
	public synchronized boolean hasServers() {
		return this.servers.values().stream().anyMatch((server) -> !server.isLeaving());
	}

	/**
	 * Tell whether a request has a server left that it has not tried.
	 * @param tried servers that it has tried
	 * @return {@code false} if each server that is not leaving has been tried
	 */
	public synchronized boolean hasUntried(Set<HostAddress> tried) {
		return this.servers.values()
			.stream()
			.anyMatch((server) -> !server.isLeaving() && !tried.contains(server.address()));
	}

	/**
	 * Number of slots this gateway may use at most.
	 * @return the count
	 */
	public synchronized int capacity() {
		return (int) this.servers.values().stream().filter((server) -> !server.isLeaving()).count() * this.slotsEach;
	}

	/**
	 * Number of slots in use.
	 * @return the count
	 */
	public synchronized int inFlight() {
		return this.servers.values().stream().mapToInt(BackendServer::inFlight).sum();
	}

}
