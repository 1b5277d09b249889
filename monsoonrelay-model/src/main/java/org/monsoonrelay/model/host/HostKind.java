package org.monsoonrelay.model.host;

/**
 * Kind of a host of the platform.
 */
public enum HostKind {

	/** Runs tasks under leases. */
	WORKER,

	/** Handles callers' requests. */
	BACKEND_SERVER

}
