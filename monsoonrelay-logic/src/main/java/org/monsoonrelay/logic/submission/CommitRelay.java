package org.monsoonrelay.logic.submission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;

/**
 * Lets another host write to the table for one that the table turns away. Implementations
 * are thread-safe and do not block.
 */
public interface CommitRelay {

	/** Knows no other host. */
	CommitRelay NONE = (write) -> Optional.empty();

	/**
	 * Have a write done by another host.
	 * @param write the write
	 * @return what became of it, never failing; empty if no other host is known
	 */
	Optional<CompletableFuture<PartitionCommit>> relay(PartitionWrite write);

}
