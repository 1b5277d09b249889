package org.monsoonrelay.benchmarks.routing;

import java.time.Duration;

import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;

/**
 * One stream of requests with exponentially distributed gaps. Immutable.
 *
 * @param trafficClass its class
 * @param load requested work as a share of the capacity
 * @param deadline how long its callers wait
 */
record ModelTraffic(TrafficClass trafficClass, double load, Duration deadline) {

	private static final Duration DESK_DEADLINE = Duration.ofSeconds(1);

	static ModelTraffic desk(double load) {
		return new ModelTraffic(TrafficClass.DESK, load, DESK_DEADLINE);
	}

	Operation operation() {
		return new Operation(this.trafficClass.name(), this.trafficClass, true, (int) this.deadline.toMillis());
	}

}
