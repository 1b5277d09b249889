package org.monsoonrelay.model.request;

/**
 * Why a request was not run.
 */
public enum NotRunReason {

	/** The text in force declares no such service. */
	UNKNOWN_SERVICE,

	/** The service has no such operation. */
	UNKNOWN_OPERATION,

	/** The request itself is malformed. */
	INVALID_REQUEST,

	/** The deadline had passed, or would have before a slot came free. */
	DEADLINE,

	/** All slots are taken and more urgent requests wait. */
	OVERLOAD,

	/** No backend server of the service can be reached. */
	NO_BACKEND_SERVER,

	/** The platform's table cannot be reached, and the operation may not be repeated. */
	PLATFORM_UNAVAILABLE,

	/** The idempotency key belongs to another request. */
	KEY_REUSED,

	/** The gateway is stopping. */
	STOPPING

}
