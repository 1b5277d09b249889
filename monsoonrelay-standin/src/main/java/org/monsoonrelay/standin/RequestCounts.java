package org.monsoonrelay.standin;

import java.util.Map;

/**
 * What the backend servers have counted. Immutable.
 *
 * @param runs requests run
 * @param refusals requests refused before they started
 * @param runsByOperation requests run, by operation
 * @param repeated runs of each named request that ran more than once
 */
public record RequestCounts(int runs, long refusals, Map<String, Integer> runsByOperation,
		Map<String, Integer> repeated) {

}
