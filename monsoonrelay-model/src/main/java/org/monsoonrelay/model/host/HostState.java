package org.monsoonrelay.model.host;

/**
 * State of a host in the platform's host list, which may be out of date.
 */
public enum HostState {

	/** In service. */
	LIVE,

	/** Accepts no new work and will be removed soon. */
	LEAVING

}
