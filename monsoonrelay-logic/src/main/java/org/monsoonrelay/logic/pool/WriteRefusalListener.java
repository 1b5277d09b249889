package org.monsoonrelay.logic.pool;

import org.monsoonrelay.logic.rows.RejectedRows;

/**
 * Receives the writes of a {@link PoolStateWriter} that the table does not accept, on the
 * control thread.
 */
interface WriteRefusalListener {

	/**
	 * Called when the table refuses a write for now, once for each reason until a write
	 * takes effect.
	 * @param write what was refused
	 */
	void writeRefused(FailedWrite write);

	/**
	 * Called when the table does not accept the content of a write. Its rows are written
	 * in smaller groups next.
	 * @param write what was rejected
	 */
	void writeRejected(FailedWrite write);

	/**
	 * Called when the table does not accept the rows of a job, until the job is given up.
	 * @param rejected the job, and what becomes of it
	 * @param write what was rejected
	 */
	void jobRejected(RejectedRows.Cause.RowsOfJob rejected, FailedWrite write);

}
