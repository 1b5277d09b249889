package org.monsoonrelay.standin;

import java.util.Map;

/**
 * What the backend servers have counted. Immutable.
 *
 * @param runs requests run
 * @param refusals requests refused before they started
 * @param runsByServer requests run, by backend server
 * @param runsByRequest requests run, by operation and the request's name
 */
public record RequestCounts(int runs, long refusals, Map<String, Integer> runsByServer,
		Map<String, Integer> runsByRequest) {

	/**
	 * Runs of one request.
	 * @param operation the operation
	 * @param name the request's name
	 * @return how often it ran
	 */
	public int runs(String operation, String name) {
		return this.runsByRequest.getOrDefault(key(operation, name), 0);
	}

	/**
	 * Runs at one backend server.
	 * @param server the backend server's name
	 * @return how many requests it ran
	 */
	public int runsAt(String server) {
		return this.runsByServer.getOrDefault(server, 0);
	}

	static String key(String operation, String name) {
		return operation + ' ' + name;
	}

}
