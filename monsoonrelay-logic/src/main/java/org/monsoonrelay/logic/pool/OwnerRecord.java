package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.platform.Json;

/**
 * The owner record: which process owns the pool, and what its successor has to know.
 * Stored as JSON. Immutable.
 *
 * @param holder random id of the owner's process
 * @param host the owner's host
 * @param epoch increased with each change of owner; the highest fencing token of its
 * requests
 * @param sequence number of the owner's write, which none of its other writes has,
 * whether it takes effect or not
 * @param released whether the owner has released the pool
 * @param workers ids of the workers on which an owner may have started tasks; an owner
 * starts nothing on a worker before this row names the worker here
 * @param closed by worker id, the only tasks that may still run, or whose ends are listed
 * and not durable, on workers that are unresponsive or leaving
 * @param largest size of the largest host; hosts that are far smaller leave the pool to
 * others
 * @param standbys the standby hosts; the first one takes over first
 * @param confirming whether the owner starts a job whose row is younger than this one
 * only after it has written this row again
 * @param recordsCrashes whether the owner keeps the crashes recorded in the progress of
 * jobs; {@code false} in rows of earlier releases, which drop them
 * @param incarnations by worker id, when the incarnation was started that the owner last
 * polled, epoch milliseconds on the worker's clock; without workers that do not tell, and
 * empty in rows of earlier releases
 * @param unresolvedStarts by task, the attempt whose start request was sent and is not
 * known to have been executed; empty in rows of earlier releases
 * @param silentWorkers by id of a worker that does not answer, the time from the
 * composition of this row until all leases that owners granted it have ended,
 * milliseconds; an owner grants no lease to such a worker before it has written a row
 * without it; empty in rows of earlier releases
 * @param startExpiries by task, for unresolved starts whose requests are not sent again,
 * the time from the composition of this row until the request is taken to be lost,
 * milliseconds; empty in rows of earlier releases
 * @param formerLeaseMillis time from the composition of this row until all leases have
 * ended that owners before this one granted, milliseconds; the longest possible one in
 * rows of earlier releases
 * @param address address at which the owner's process listens for peers; empty in rows of
 * earlier releases
 */
public record OwnerRecord(String holder, String host, long epoch, long sequence, boolean released, List<String> workers,
		Map<String, List<String>> closed, HostSize largest, List<String> standbys, boolean confirming,
		boolean recordsCrashes, Map<String, Long> incarnations, Map<String, Integer> unresolvedStarts,
		Map<String, Long> silentWorkers, Map<String, Long> startExpiries, Long formerLeaseMillis, String address) {

	/** Lower than every valid epoch. */
	static final long NO_EPOCH = 0;

	/** The record of a pool that was never owned. */
	static final OwnerRecord NEVER_OWNED = new OwnerRecord("", "", NO_EPOCH, 0, true, List.of(), Map.of(),
			HostSize.UNKNOWN, List.of(), true, true, Map.of(), Map.of(), Map.of(), Map.of(), 0L, "");

	public OwnerRecord {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(host, "host");
		workers = List.copyOf(workers);
		closed = (closed != null) ? Map.copyOf(closed) : Map.of();
		largest = (largest != null) ? largest : HostSize.UNKNOWN;
		standbys = (standbys != null) ? List.copyOf(standbys) : List.of();
		incarnations = (incarnations != null) ? Map.copyOf(incarnations) : Map.of();
		unresolvedStarts = (unresolvedStarts != null) ? Map.copyOf(unresolvedStarts) : Map.of();
		formerLeaseMillis = (formerLeaseMillis != null) ? formerLeaseMillis : OwnerLease.MAX_FORMER_LEASE_MILLIS;
		address = (address != null) ? address : "";
		silentWorkers = (silentWorkers != null) ? Map.copyOf(silentWorkers) : Map.of();
		startExpiries = (startExpiries != null) ? Map.copyOf(startExpiries) : Map.of();
	}

	/**
	 * Returns the record with which a host takes the pool over.
	 * @param next the host
	 * @param ageMillis time for which it has known this record, milliseconds
	 * @param leaseMillis time until all leases have ended that owners before it granted,
	 * milliseconds
	 * @return the record, with the next epoch
	 */
	OwnerRecord takenOverBy(HostRecord next, long ageMillis, long leaseMillis) {
		return new OwnerRecord(next.incarnation(), next.host(), this.epoch + OwnerLease.TOKENS_PER_EPOCH, 1, false,
				this.workers, this.closed, HostSize.largest(List.of(this.largest, next.size())), this.standbys,
				this.confirming, true, this.incarnations, this.unresolvedStarts,
				shortened(this.silentWorkers, ageMillis), shortened(this.startExpiries, ageMillis), leaseMillis,
				next.peerAddress());
	}

	/**
	 * Returns the number of the write that a row holds, if it is of this owner.
	 * @param value value of the row
	 * @return the number, empty if another owner wrote the row or it cannot be read
	 */
	Optional<Long> ownNumber(String value) {
		try {
			OwnerRecord found = Json.readRow(value, OwnerRecord.class);
			boolean isOwn = found.holder().equals(this.holder) && found.epoch() == this.epoch;
			return isOwn ? Optional.of(found.sequence()) : Optional.empty();
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	private static Map<String, Long> shortened(Map<String, Long> remaining, long ageMillis) {
		Map<String, Long> shorter = new HashMap<>();
		remaining.forEach((name, millis) -> shorter.put(name, Math.max(0, millis - ageMillis)));
		return shorter;
	}

}
