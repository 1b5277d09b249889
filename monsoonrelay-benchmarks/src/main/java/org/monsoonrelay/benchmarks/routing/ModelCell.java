package org.monsoonrelay.benchmarks.routing;

import java.time.Duration;

/**
 * Sizes of a modelled cell. Immutable.
 *
 * @param gateways number of gateways
 * @param executors number of backend servers
 * @param slots slots of each backend server
 * @param service mean service time, distributed exponentially
 * @param oneWay time of a message between a gateway and a backend server
 * @param skewed whether the balancer sends gateway n a share in proportion to 1/n instead
 * of equal shares
 * @param seconds modelled time in seconds, of which the first is not measured
 * @param seed seed of all randomness
 */
record ModelCell(int gateways, int executors, int slots, Duration service, Duration oneWay, boolean skewed, int seconds,
		long seed) {

	/**
	 * Today's cell: seven gateways in front of thirty backend servers of eight slots.
	 * @param skewed whether the balancer is skewed
	 * @param seconds modelled time in seconds
	 * @param seed seed of all randomness
	 * @return the cell
	 */
	static ModelCell today(boolean skewed, int seconds, long seed) {
		return new ModelCell(7, 30, 8, Duration.ofMillis(20), Duration.ofNanos(500_000), skewed, seconds, seed);
	}

	int capacity() {
		return this.executors * this.slots;
	}

	/**
	 * Share of the requests that the balancer sends to a gateway.
	 * @param gateway its index
	 * @return the share, between 0 and 1
	 */
	double share(int gateway) {
		if (!this.skewed) {
			return 1.0 / this.gateways;
		}
		double sum = 0;
		for (int index = 1; index <= this.gateways; index++) {
			sum += 1.0 / index;
		}
		return 1.0 / (gateway + 1) / sum;
	}

}
