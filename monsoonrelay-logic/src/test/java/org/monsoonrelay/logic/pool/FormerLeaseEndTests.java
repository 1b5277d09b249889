package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.submission.JobTables;

import static org.assertj.core.api.Assertions.assertThat;

/** From when on a host that takes the pool over counts on the end of former leases. */
class FormerLeaseEndTests {

	private static final String ADDRESS = "a:1";

	private static final long READ_MILLIS = 500;

	private final VirtualTime time = new VirtualTime();

	private final InMemoryTable table = new InMemoryTable(this.time);

	private final List<TakeOver> takeOvers = new ArrayList<>();

	private long startNanos;

	private void writeRecordOf(String host, String address, long formerLeaseMillis) {
		OwnerRecord record = new OwnerRecord("former", host, 100, 7, false, List.of("w"), Map.of(), HostSize.UNKNOWN,
				List.of(), true, true, Map.of(), Map.of(), Map.of(), Map.of(), formerLeaseMillis, address);
		this.table.client()
			.commit(PartitionWrite.to(JobTables.POOL_PARTITION)
				.put(JobTables.OWNER, JobTables.OWNER_KEY, Json.write(record)));
		this.time.runFor(READ_MILLIS);
	}

	private long millisFromStartUntilEnd() {
		this.startNanos = this.time.clock().nanos();
		UnreadableRows unreadable = new UnreadableRows(DecisionLog.NONE);
		PoolDependencies dependencies = new PoolDependencies(this.table.client(),
				new SimulatedWorkers(this.time, (task) -> 0).client(), null, this.time, this.time.clock(),
				DecisionLog.NONE, unreadable);
		new OwnerElection(dependencies, new HostRecord("s0", "porto", ADDRESS, "process", 1, false),
				this.takeOvers::add, () -> !this.takeOvers.isEmpty())
			.start();
		this.time.runFor(OwnerLease.EXPIRY_MILLIS + READ_MILLIS);
		return TimeUnit.NANOSECONDS.toMillis(this.takeOvers.get(0).formerLeaseEndNanos() - this.startNanos);
	}

	@Test
	void ofAnEarlierProcessOfTheSameHostIsCountedFromTheStartOfTheNext() {
		writeRecordOf("s0", ADDRESS, 0);
		assertThat(millisFromStartUntilEnd()).isEqualTo(OwnerLease.MAX_LEASE_OF_ENDED_PROCESS_MILLIS);
	}

	@Test
	void isLaterIfLeasesOfAnOwnerBeforeThatProcessEndLater() {
		writeRecordOf("s0", ADDRESS, 8000);
		assertThat(millisFromStartUntilEnd()).isBetween(8000L, 8000 + READ_MILLIS);
	}

	@Test
	void isNotLaterIfLeasesOfAnOwnerBeforeThatProcessEndSooner() {
		writeRecordOf("s0", ADDRESS, 3000);
		assertThat(millisFromStartUntilEnd()).isEqualTo(OwnerLease.MAX_LEASE_OF_ENDED_PROCESS_MILLIS);
	}

	@Test
	void ofAnotherHostIsCountedFromItsLastKnownRenewalAndNotFromTheTakeOver() {
		writeRecordOf("s1", "b:1", 0);
		assertThat(millisFromStartUntilEnd()).isBetween(OwnerLease.MAX_FORMER_LEASE_MILLIS,
				OwnerLease.MAX_FORMER_LEASE_MILLIS + READ_MILLIS);
	}

	@Test
	void ofAHostThatWasReplacedUnderItsNameIsCountedFromItsLastKnownRenewal() {
		writeRecordOf("s0", "b:1", 0);
		assertThat(millisFromStartUntilEnd()).isBetween(OwnerLease.MAX_FORMER_LEASE_MILLIS,
				OwnerLease.MAX_FORMER_LEASE_MILLIS + READ_MILLIS);
	}

}
