package org.monsoonrelay.logic.pool;

/**
 * Why tasks are not started although all steps that they depend on are complete. The
 * names are part of log lines and metrics.
 */
enum WaitReason {

	/** It is not known yet what runs on the workers of an earlier owner. */
	OWNER_RECOVERY,

	/** It is not read yet whether the job was cancelled before the take-over. */
	CANCELLATIONS_UNREAD,

	/** The owner's lease has expired for too long to grant leases to workers. */
	LEASE_EXPIRED,

	/** It is not confirmed that this process was the owner after the job was stored. */
	JOB_UNCONFIRMED,

	/** The table rejects the progress of the job. */
	PROGRESS_REJECTED,

	/**
	 * An earlier run may be active on a worker that has not reported since, or its end
	 * may not be listed yet.
	 */
	RUN_UNCONFIRMED,

	/** The loss of an earlier run is not confirmed by a renewal. */
	LOSS_UNCONFIRMED,

	/** An earlier start request may still be executed. */
	START_UNRESOLVED,

	/** A crash or start that the next owner has to know of is not durable yet. */
	RECORDS_NOT_DURABLE,

	/** No reply tells which workers are eligible. */
	ELIGIBILITY_UNKNOWN,

	/** Eligible workers have free capacity, but their tickets have to be renewed. */
	TICKETS_EXPIRED,

	/** No queried worker is eligible. */
	NO_ELIGIBLE_WORKER,

	/** The eligible workers accept no work or have too little free capacity. */
	NO_CAPACITY,

	/** Free capacity is set aside or reserved for gangs. */
	CAPACITY_RESERVED,

	/** The customer has as much running as its limit allows. */
	CUSTOMER_LIMIT,

	/** Tasks that are suspected to crash their workers have just been started. */
	CRASH_ISOLATION

}
