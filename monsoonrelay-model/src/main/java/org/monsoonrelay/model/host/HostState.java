package org.monsoonrelay.model.host;

/**
 * State of a host in the platform's host list, which lags.
 */
public enum HostState {

	/** In service. */
	LIVE,

	/** Takes no new work and ends soon. */
	LEAVING

}
