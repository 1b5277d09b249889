package org.monsoonrelay.benchmarks.placement;

/**
 * Kinds of work that the report of a generated day tells apart, in the order in which
 * they are placed.
 */
enum DayLabel {

	/** Small tasks that cannot wait. */
	URGENT,

	/** Replicas that run for hours. */
	SERVICE,

	/** Small and middling independent tasks. */
	BATCH,

	/** Tasks that need most of a worker. */
	LARGE,

	/** Tasks that need accelerators. */
	ACCELERATOR,

	/** Tasks that need each other at once. */
	GANG

}
