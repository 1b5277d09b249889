package org.monsoonrelay.benchmarks.routing;

import java.util.List;
import java.util.function.Function;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.routing.RefusalBackoff;
import org.monsoonrelay.logic.routing.ServerSelector;

/**
 * One way to choose a server, under its name. Immutable.
 *
 * @param name the name
 * @param pause what gateways do after a refusal
 * @param choices makes the choice of each gateway
 */
record ChoiceTrial(String name, RefusalBackoff pause, Function<UniformRandomProvider, ServerSelector> choices) {

	ModelResult run(ModelCell cell, ModelTraffic traffic) {
		return new RoutingModel(cell, this.pause, this.choices).run(List.of(traffic)).get(traffic.trafficClass());
	}

}
