package org.monsoonrelay.model.request;

/**
 * Traffic class of a caller's request, in descending order of urgency. Under overload,
 * the requests of the last class are shed first.
 */
public enum TrafficClass {

	/** Requests from the front desk, where a guest is present. */
	DESK,

	/** Interactive requests from the booking app. */
	APP,

	/** Requests from the head office. */
	OFFICE,

	/** Requests from programs that can retry later. */
	BATCH

}
