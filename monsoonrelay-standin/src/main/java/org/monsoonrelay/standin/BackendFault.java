package org.monsoonrelay.standin;

/**
 * How a backend server's stand-in misbehaves. Immutable.
 *
 * @param slowMillis added to the service time, in milliseconds
 * @param cutAnswers number of further answers that are cut half way
 * @param dropAfterRead number of further requests whose connection is closed once they
 * are read and run
 * @param frozen takes requests and never answers
 * @param silenceConnections connections open now go silent for good
 * @param failing answers each request with an error of its own
 * @param leaving refuses new requests, because it is leaving
 */
public record BackendFault(int slowMillis, int cutAnswers, int dropAfterRead, boolean frozen,
		boolean silenceConnections, boolean failing, boolean leaving) {

	/**
	 * No fault.
	 */
	public static final BackendFault NONE = new BackendFault(0, 0, 0, false, false, false, false);

}
