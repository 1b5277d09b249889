package org.monsoonrelay.adapters.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.jooby.Context;
import io.jooby.StatusCode;
import org.monsoonrelay.logic.platform.Json;

/**
 * Problem details of a failed request as defined by RFC 9457. Immutable.
 *
 * @param type URI of the problem type
 * @param title short description of the problem type
 * @param status the HTTP status code
 * @param detail explanation of this occurrence
 * @param instance URI of the request, absent if the request has no id
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(String type, String title, int status, String detail, String instance) {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:monsoonrelay:problem:";

	private static final String INSTANCE_PREFIX = "urn:monsoonrelay:request:";

	/**
	 * Creates a problem without an instance.
	 * @param kind name of the problem type, in lower case with hyphens
	 * @param title short description of the problem type
	 * @param status the HTTP status code
	 * @param detail explanation of this occurrence
	 * @return the problem
	 */
	public static Problem of(String kind, String title, int status, String detail) {
		return new Problem(TYPE_PREFIX + kind, title, status, detail, null);
	}

	/**
	 * Returns a copy of this problem that names the request.
	 * @param requestId the id of the request
	 * @return the problem with its instance
	 */
	public Problem withInstance(String requestId) {
		return new Problem(this.type, this.title, this.status, this.detail, INSTANCE_PREFIX + requestId);
	}

	/**
	 * Sends this problem as the response to a request.
	 * @param context the context of the request
	 */
	public void send(Context context) {
		context.setResponseCode(StatusCode.valueOf(this.status));
		context.setResponseHeader("Content-Type", CONTENT_TYPE);
		context.send(Json.write(this));
	}

}
