package org.monsoonrelay.model.submission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' configuration of queues, as of one version. Immutable.
 *
 * @param version its version; higher ones replace lower ones
 * @param routes where callers reach queues
 * @param services the services with workers
 */
public record QueueConfiguration(long version, List<QueueRoute> routes, List<WorkerService> services) {

	/** Nothing is configured yet. */
	public static final QueueConfiguration NONE = new QueueConfiguration(0, List.of(), List.of());

	public QueueConfiguration {
		routes = List.copyOf(routes);
		services = List.copyOf(services);
	}

	/**
	 * The queue that a caller's address belongs to: the longest prefix wins.
	 * @param host the host named by the caller
	 * @param path the path
	 * @return the route, empty if there is no such queue
	 */
	public Optional<QueueRoute> route(String host, String path) {
		QueueRoute best = null;
		for (QueueRoute route : this.routes) {
			boolean matches = route.host().equalsIgnoreCase(host) && path.startsWith(route.pathPrefix());
			if (matches && (best == null || route.pathPrefix().length() > best.pathPrefix().length())) {
				best = route;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * The policies by queue.
	 * @return a new map
	 */
	public Map<String, QueuePolicy> policies() {
		Map<String, QueuePolicy> policies = new HashMap<>();
		this.routes.forEach((route) -> policies.put(route.policy().queue(), route.policy()));
		return policies;
	}

}
