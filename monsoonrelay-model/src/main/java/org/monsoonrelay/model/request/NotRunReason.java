package org.monsoonrelay.model.request;

/**
 * Why a request was not run.
 */
public enum NotRunReason {

	/** The configuration in force declares no such service. */
	UNKNOWN_SERVICE,

	/** The service has no such operation. */
	UNKNOWN_OPERATION,

	/** The request itself is malformed. */
	INVALID_REQUEST,

	/** The deadline has passed, or would pass before a slot becomes free. */
	DEADLINE,

	/** All slots are in use and more urgent requests are waiting. */
	OVERLOAD,

	/** No backend server of the service is reachable. */
	NO_BACKEND_SERVER,

	/** The platform's table is unreachable, and the operation is not repeatable. */
	PLATFORM_UNAVAILABLE,

	/** The idempotency key belongs to another request. */
	KEY_REUSED,

	/** The gateway is stopping. */
	STOPPING

}
