package org.monsoonrelay.adapters.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.jooby.Context;
import io.jooby.StatusCode;
import org.monsoonrelay.logic.platform.Json;

/**
 * An error as RFC 9457 writes it. Immutable.
 *
 * @param type URI of the kind of problem
 * @param title what the kind of problem is
 * @param status the HTTP status
 * @param detail what is wrong this time
 * @param instance URI of the request, absent if it has no identity
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(String type, String title, int status, String detail, String instance) {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:monsoonrelay:problem:";

	private static final String INSTANCE_PREFIX = "urn:monsoonrelay:request:";

	/**
	 * Create a problem.
	 * @param kind short name of the kind, in lower case with hyphens
	 * @param title what the kind is
	 * @param status the HTTP status
	 * @param detail what is wrong this time
	 * @return the problem
	 */
	public static Problem of(String kind, String title, int status, String detail) {
		return new Problem(TYPE_PREFIX + kind, title, status, detail, null);
	}

	/**
	 * This problem as one request had it.
	 * @param requestId identity of the request
	 * @return the problem with its instance
	 */
	public Problem withInstance(String requestId) {
		return new Problem(this.type, this.title, this.status, this.detail, INSTANCE_PREFIX + requestId);
	}

	/**
	 * Answer a request with this problem.
	 * @param context the request
	 */
	public void send(Context context) {
		context.setResponseCode(StatusCode.valueOf(this.status));
		context.setResponseHeader("Content-Type", CONTENT_TYPE);
		context.send(Json.write(this));
	}

}
