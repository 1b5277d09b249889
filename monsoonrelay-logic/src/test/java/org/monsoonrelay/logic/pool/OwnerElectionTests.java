package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.submission.JobTables;

import static org.assertj.core.api.Assertions.assertThat;

class OwnerElectionTests {

	private static final double LARGE = 1.5;

	private static final double SMALL = 0.36;

	private static final long TIME_STEP_MILLIS = 10;

	private static final long OUTAGE_MILLIS = 5200;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	private SimulatedCell.Scheduler add(double processors) {
		SimulatedCell.Scheduler added = this.cell.addScheduler("first", processors);
		this.cell.time.runFor(500);
		return added;
	}

	/**
	 * Advances the time and asserts that the host does not own the pool meanwhile.
	 */
	private void assertDoesNotOwnThePoolFor(SimulatedCell.Scheduler host, long millis) {
		for (long passed = 0; passed < millis; passed += TIME_STEP_MILLIS) {
			this.cell.time.runFor(TIME_STEP_MILLIS);
			assertThat(host.owner()).as("after %d ms", passed).isEmpty();
		}
	}

	@Nested
	class ASmallHost {

		private final SimulatedCell.Scheduler first = add(LARGE);

		private final SimulatedCell.Scheduler large = add(LARGE);

		private final SimulatedCell.Scheduler small = add(SMALL);

		@ParameterizedTest
		@ValueSource(longs = { 0, 50, 100, 150, 200, 250, 300, 350, 400, 450, 500, 550, 600, 650, 700, 750, 800, 850,
				900, 950, 1000, 1050, 1100, 1150 })
		void leavesThePoolToALargeHostAfterATableOutage(long offset) {
			this.first.registerStandbys(this.large);
			outage(offset);
			assertThat(this.large.owner()).isPresent();
		}

		@ParameterizedTest
		@ValueSource(longs = { 0, 150, 300, 450, 600, 750, 900, 1050 })
		void leavesThePoolToALargeHostIfBothAreStandbys(long offset) {
			this.first.registerStandbys(this.small, this.large);
			outage(offset);
			assertThat(this.large.owner()).isPresent();
		}

		private void outage(long offset) {
			OwnerElectionTests.this.cell.time.runFor(2000);
			OwnerElectionTests.this.cell.table.setDown(true);
			OwnerElectionTests.this.cell.time.runFor(OUTAGE_MILLIS / 2);
			this.first.kill();
			OwnerElectionTests.this.cell.time.runFor(OUTAGE_MILLIS / 2 + offset);
			OwnerElectionTests.this.cell.table.setDown(false);
			assertDoesNotOwnThePoolFor(this.small, 4000);
		}

		@ParameterizedTest
		@ValueSource(longs = { 0, 150, 300, 450, 600, 750, 900, 1050 })
		void leavesThePoolToALargeHostIfTheOutageBeganAfterTheLossOfTheOwner(long offset) {
			this.first.registerStandbys(this.large);
			OwnerElectionTests.this.cell.time.runFor(2000);
			this.large.tableClient.setDisconnected(true);
			this.first.kill();
			OwnerElectionTests.this.cell.time.runFor(1000);
			OwnerElectionTests.this.cell.table.setDown(true);
			OwnerElectionTests.this.cell.time.runFor(OUTAGE_MILLIS);
			OwnerElectionTests.this.cell.table.setDown(false);
			assertDoesNotOwnThePoolFor(this.small, offset);
			this.large.tableClient.setDisconnected(false);
			assertDoesNotOwnThePoolFor(this.small, 4000);
			assertThat(this.large.owner()).isPresent();
		}

		@ParameterizedTest
		@ValueSource(longs = { 0, 100, 400, 700, 1000, 1500 })
		void waitsAgainForALargeHostOnceTheTableAcceptsWrites(long offset) {
			this.first.registerStandbys(this.large);
			OwnerElectionTests.this.cell.time.runFor(2000);
			this.large.tableClient.setRejectsRequests(true);
			this.small.tableClient.setRejectsRequests(true);
			this.first.kill();
			OwnerElectionTests.this.cell.time.runFor(OUTAGE_MILLIS);
			this.small.tableClient.setRejectsRequests(false);
			assertDoesNotOwnThePoolFor(this.small, offset);
			this.large.tableClient.setRejectsRequests(false);
			assertDoesNotOwnThePoolFor(this.small, 4000);
			assertThat(this.large.owner()).isPresent();
		}

		@Test
		void leavesThePoolToALargeHostThatIsSlowToDetectTheEndOfAnOutage() {
			this.first.registerStandbys(this.large, this.small);
			OwnerElectionTests.this.cell.time.runFor(2000);
			this.large.tableClient.setDisconnected(true);
			OwnerElectionTests.this.cell.time.runFor(1000);
			this.first.kill();
			OwnerElectionTests.this.cell.time.runFor(500);
			this.large.tableClient.setDisconnected(false);
			assertDoesNotOwnThePoolFor(this.small, 4000);
			assertThat(this.large.owner()).isPresent();
		}

		@Test
		void takesThePoolOverIfAllLargeHostsAreLost() {
			this.first.registerStandbys(this.large);
			OwnerElectionTests.this.cell.time.runFor(2000);
			this.first.kill();
			this.large.kill();
			OwnerElectionTests.this.cell.time.runFor(4000);
			assertThat(this.small.owner()).isPresent();
		}

	}

	@Nested
	class ASmallHostWithShiftedChecks {

		private static final long HALF_CHECK_INTERVAL_MILLIS = 50;

		private final SimulatedCell.Scheduler first = add(LARGE);

		private final SimulatedCell.Scheduler large = add(LARGE);

		private SimulatedCell.Scheduler small;

		@BeforeEach
		void addSmall() {
			OwnerElectionTests.this.cell.time.runFor(HALF_CHECK_INTERVAL_MILLIS);
			this.small = add(SMALL);
			this.first.registerStandbys(this.large);
			OwnerElectionTests.this.cell.time.runFor(2000);
		}

		static LongStream outageEnds() {
			return LongStream.rangeClosed(0, 100).map((i) -> i * HALF_CHECK_INTERVAL_MILLIS);
		}

		@ParameterizedTest
		@MethodSource("outageEnds")
		void leavesThePoolToALargeHostOnceTheTableAcceptsWrites(long end) {
			this.first.kill();
			this.large.tableClient.setRejectsRequests(true);
			this.small.tableClient.setRejectsRequests(true);
			OwnerElectionTests.this.cell.time.runFor(1000 + end);
			this.large.tableClient.setRejectsRequests(false);
			this.small.tableClient.setRejectsRequests(false);
			assertDoesNotOwnThePoolFor(this.small, 1000);
			assertThat(this.large.owner()).isPresent();
		}

	}

	@Nested
	class ATakeOver {

		private static final long FORMER_EPOCH = 500;

		private static final long HEARTBEAT_MILLIS = 40;

		private final VirtualTime time = new VirtualTime();

		private final InMemoryTable table = new InMemoryTable(this.time);

		private final InMemoryTable.Client client = this.table.client();

		private final List<TakeOver> takeOvers = new ArrayList<>();

		private final OwnerElection election = createElection();

		private OwnerElection createElection() {
			PoolDependencies dependencies = new PoolDependencies(this.client, null, null, this.time, this.time.clock(),
					DecisionLog.NONE, new UnreadableRows(DecisionLog.NONE));
			return new OwnerElection(dependencies, new HostRecord("s1", "domain", "a:1", "p1", LARGE, false),
					this.takeOvers::add, () -> !this.takeOvers.isEmpty());
		}

		@BeforeEach
		void start() {
			writeFormerRecord(0);
			this.election.start();
			this.time.runFor(500);
		}

		private void writeFormerRecord(long expectedVersion) {
			OwnerRecord record = new OwnerRecord("p0", "s0", FORMER_EPOCH, 1, false, List.of(), Map.of(),
					HostSize.UNKNOWN, List.of("s1"), true, true, Map.of(), Map.of(), Map.of(), Map.of(), 0L, "");
			this.table.client()
				.commit(PartitionWrite.to(JobTables.POOL_PARTITION)
					.onVersion(JobTables.OWNER, JobTables.OWNER_KEY, expectedVersion)
					.put(JobTables.OWNER, JobTables.OWNER_KEY, Json.write(record)));
		}

		private long nanos() {
			return this.time.clock().nanos();
		}

		private TakeOver onlyTakeOver() {
			this.time.runFor(2 * OwnerLease.EXPIRY_MILLIS);
			assertThat(this.takeOvers).hasSize(1);
			return this.takeOvers.get(0);
		}

		@Test
		void tellsWhenTheReplacedRowWasRead() {
			long writtenNanos = nanos();
			writeFormerRecord(1);
			this.time.runFor(100);
			long readNanos = nanos();
			TakeOver takeOver = onlyTakeOver();
			assertThat(takeOver.previousKnownNanos()).isBetween(writtenNanos, readNanos);
			assertThat(TimeUnit.NANOSECONDS.toMillis(takeOver.sentNanos() - takeOver.previousKnownNanos()))
				.isGreaterThan(OwnerLease.EXPIRY_MILLIS);
		}

		@Test
		void tellsWhenAHeartbeatShowedTheReplacedRow() {
			this.client.setFeedDelay(400);
			writeFormerRecord(1);
			this.time.runFor(HEARTBEAT_MILLIS);
			long heartbeatNanos = nanos();
			this.election.heartbeatReceived(FORMER_EPOCH, this.table.version());
			this.time.runFor(HEARTBEAT_MILLIS);
			this.election.heartbeatReceived(FORMER_EPOCH, this.table.version());
			assertThat(onlyTakeOver().previousKnownNanos()).isEqualTo(heartbeatNanos);
		}

		@Test
		void tellsWhenTheReplacedRowWasReadIfHeartbeatsShowedAnEarlierOne() {
			this.election.heartbeatReceived(FORMER_EPOCH, this.table.version());
			this.time.runFor(HEARTBEAT_MILLIS);
			long writtenNanos = nanos();
			writeFormerRecord(1);
			this.time.runFor(100);
			this.election.heartbeatReceived(FORMER_EPOCH, this.table.version() - 1);
			assertThat(onlyTakeOver().previousKnownNanos()).isGreaterThan(writtenNanos);
		}

		@Test
		void thatIsNotAnsweredIsMadeAnewWithALaterEpoch() {
			this.table.setDropsAnswers(true);
			this.time.runFor(OwnerLease.EXPIRY_MILLIS + 300);
			long answeredNanos = nanos();
			assertThat(this.table.version()).isEqualTo(2);
			this.table.setDropsAnswers(false);
			TakeOver takeOver = onlyTakeOver();
			assertThat(takeOver.previous().host()).isEqualTo("s1");
			assertThat(takeOver.previous().epoch()).isEqualTo(FORMER_EPOCH + OwnerLease.TOKENS_PER_EPOCH);
			assertThat(takeOver.record().epoch()).isEqualTo(FORMER_EPOCH + 2 * OwnerLease.TOKENS_PER_EPOCH);
			assertThat(takeOver.sentNanos()).isGreaterThan(answeredNanos);
			assertThat(takeOver.version()).isEqualTo(this.table.version());
		}

	}

}
