package org.monsoonrelay.logic.events;

/**
 * Figures that are measured without a line for each.
 */
public enum Metric {

	/** From sending a start to the worker's word that it runs, milliseconds. */
	START_LATENCY,

	/**
	 * From taking in ends that a worker lists to the look that acknowledges them,
	 * milliseconds.
	 */
	ACKNOWLEDGEMENT_LATENCY,

	/**
	 * What a run that did not end well took of its worker, thousandths of a processor
	 * times milliseconds.
	 */
	WASTED_PROCESSOR_TIME

}
