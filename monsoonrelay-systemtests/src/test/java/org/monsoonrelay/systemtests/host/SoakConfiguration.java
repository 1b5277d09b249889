package org.monsoonrelay.systemtests.host;

import java.util.List;

/**
 * Texts of the configuration that soaks put in force: one queue, and what a version adds
 * to it. Stateless and thread-safe.
 */
final class SoakConfiguration {

	private static final String ELIGIBILITY = """
			, "advice": {"decide_ms": 1, "period_ms": 0.1, "valid_ms": 2000}""";

	private static final String TEXT = """
			{"version": %d, "services": [{"name": "soak", "enforces_capacity": false}],
			 "routes": [{"name": "soak", "host": "soak", "path_prefix": "/soak/", "timeout_ms": 3000,
			  "target_latency_ms": 1000, "priority": 0, "service": "soak", "max_attempts": 3, "slack_factor": 2%s}%s]}""";

	private static final String ADDED_ROUTE = """
			, {"name": "added-%1$d", "host": "soak", "path_prefix": "/added-%1$d/", "timeout_ms": 3000,
			  "target_latency_ms": 1000, "priority": 0, "service": "soak", "max_attempts": 3, "slack_factor": 2}""";

	private SoakConfiguration() {
	}

	/**
	 * A version without an added route.
	 * @param version the version
	 * @param form whether the queue asks which workers are eligible
	 * @return the text
	 */
	static String plain(int version, PlatformForm form) {
		return TEXT.formatted(version, form.asksEligibility() ? ELIGIBILITY : "", "");
	}

	/**
	 * A version with a route of its own.
	 * @param version the version
	 * @param form whether the queue asks which workers are eligible
	 * @return the text
	 */
	static String added(int version, PlatformForm form) {
		return TEXT.formatted(version, form.asksEligibility() ? ELIGIBILITY : "", ADDED_ROUTE.formatted(version));
	}

	/**
	 * A version with one customer.
	 * @param version the version
	 * @param form whether the queue asks which workers are eligible
	 * @param keys the customer's keys
	 * @return the text
	 */
	static String keyed(int version, PlatformForm form, List<String> keys) {
		String plain = plain(version, form).trim();
		String customers = ", \"tenants\": [{\"name\": \"soak\", \"weight\": 1, \"api_keys\": [\""
				+ String.join("\", \"", keys) + "\"]}]}";
		return plain.substring(0, plain.length() - 1) + customers;
	}

}
