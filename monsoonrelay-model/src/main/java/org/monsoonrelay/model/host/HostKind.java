package org.monsoonrelay.model.host;

/**
 * What a host of the platform is for.
 */
public enum HostKind {

	/** Runs tasks under leases. */
	WORKER,

	/** Serves callers' requests. */
	BACKEND_SERVER

}
