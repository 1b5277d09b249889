package org.monsoonrelay.model.request;

/**
 * Class of a caller's request, the most urgent first. Under overload the last class is
 * shed first.
 */
public enum TrafficClass {

	/** A guest stands at the desk. */
	DESK,

	/** A person waits at the booking app. */
	APP,

	/** Head office. */
	OFFICE,

	/** Programs that can come back later. */
	BATCH

}
