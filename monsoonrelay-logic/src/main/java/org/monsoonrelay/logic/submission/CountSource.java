package org.monsoonrelay.logic.submission;

/** How a host received a count of waiting jobs. */
public enum CountSource {

	/** No count has been received. */
	NONE,

	/** From the table. */
	TABLE,

	/** In a message of the owner. */
	MESSAGE

}
