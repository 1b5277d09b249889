package org.monsoonrelay.logic.events;

/**
 * Metrics that are recorded without a log line for each value.
 */
public enum Metric {

	/**
	 * Time from sending a start request until the worker confirms the run, in
	 * milliseconds.
	 */
	START_LATENCY,

	/**
	 * Time from processing the terminations that a worker reports until the poll that
	 * acknowledges them, in milliseconds.
	 */
	ACKNOWLEDGEMENT_LATENCY,

	/**
	 * Processor time reserved by a run that did not complete, in thousandths of a
	 * processor times milliseconds.
	 */
	WASTED_PROCESSOR_TIME

}
