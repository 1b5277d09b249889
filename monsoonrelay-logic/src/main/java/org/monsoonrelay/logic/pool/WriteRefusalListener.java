package org.monsoonrelay.logic.pool;

import org.monsoonrelay.logic.rows.RejectedRows;
import org.monsoonrelay.logic.writes.FailedWrite;
import org.monsoonrelay.logic.writes.PendingWrite;
import org.monsoonrelay.logic.writes.WriteOutcome;

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

	/**
	 * Called when it is known what became of a write of which an attempt was not
	 * answered, or which was replaced by another one.
	 * @param write the write
	 * @param outcome what became of it
	 * @param version version of the owner record that shows it
	 */
	void writeSettled(PendingWrite<StateWrite> write, WriteOutcome outcome, long version);

}
