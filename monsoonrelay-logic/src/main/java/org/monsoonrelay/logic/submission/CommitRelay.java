package org.monsoonrelay.logic.submission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;

/**
 * Forwards writes to another host, for use while the table rejects the writes of this
 * host. Implementations are thread-safe and do not block.
 */
public interface CommitRelay {

	/** A relay without any other host. */
	CommitRelay NONE = (write) -> Optional.empty();

	/**
	 * Forward a write to another host.
	 * @param write the write
	 * @return the outcome, never failing; empty if no other host is known
	 */
	Optional<CompletableFuture<PartitionCommit>> relay(PartitionWrite write);

}
