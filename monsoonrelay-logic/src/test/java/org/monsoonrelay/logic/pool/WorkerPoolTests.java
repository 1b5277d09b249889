package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerPoolTests {

	private static final WorkerInfo INFO = new WorkerInfo("w", "salon", "10.0.0.1:1", "porto",
			new Resources(4000, 1000, 0), List.of(), "r1", false, 0, OptionalLong.of(5));

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private static final TaskKey UNLOADED = new TaskKey("unloaded", 0, 0, 0);

	private final WorkerPool pool = new WorkerPool();

	private PoolWorker addReachableWorker() {
		this.pool.update(List.of(INFO));
		PoolWorker worker = this.pool.worker("w").orElseThrow();
		worker.incarnation().recordReport(new PollOutcome.Report(OptionalLong.of(5), 1, List.of(), List.of(), true), 0);
		worker.markReachable();
		return worker;
	}

	private static long formerEnd(long knownNanos) {
		return knownNanos + TimeUnit.MILLISECONDS.toNanos(OwnerLease.MAX_FORMER_LEASE_MILLIS);
	}

	private OwnerRecord writeRecord() {
		OwnerRecord record = composeRecord();
		this.pool.markRecorded(record);
		return record;
	}

	private OwnerRecord composeRecord() {
		WorkerPool.RecordedWorkers named = this.pool.workersToRecord(false, 0);
		return new OwnerRecord("h", "s0", 100, 1, false, named.workers(), named.closedWorkers(), HostSize.UNKNOWN,
				List.of(), true, true, named.incarnations(), Map.of(), named.silentWorkers(), Map.of(), 0L, "");
	}

	@Test
	void aWorkerThatIsListedAgainAcceptsNoWorkWhileARecordWithoutItMayTakeEffect() {
		PoolWorker worker = addReachableWorker();
		writeRecord();
		assertThat(worker.isAcceptingWork(1)).isTrue();
		this.pool.update(List.of());
		this.pool.remove(worker);
		assertThat(this.pool.workersToRecord(false, 0).workers()).isEmpty();
		assertThat(addReachableWorker().isAcceptingWork(1)).isFalse();
		writeRecord();
		assertThat(this.pool.worker("w").orElseThrow().isAcceptingWork(1)).isTrue();
	}

	// Guards against a start that outlives what the next owner counts on.
	@Test
	void aWorkerOfTheFormerOwnerAcceptsNoWorkWhileARecordNamesItAsSilent() {
		OwnerRecord former = new OwnerRecord("g", "s1", 100, 1, false, List.of("w"), Map.of(), HostSize.UNKNOWN,
				List.of(), true, true, Map.of(), Map.of(), Map.of(), Map.of(), 0L, "");
		this.pool.recoverFrom(new TakeOver(former, 1, 0, 0, former, 0, 0, 0, 0));
		this.pool.update(List.of(INFO));
		this.pool.worker("w").orElseThrow().markUnreachable(0);
		OwnerRecord record = writeRecord();
		assertThat(record.workers()).contains("w");
		assertThat(record.silentWorkers()).containsKey("w");
		PoolWorker worker = addReachableWorker();
		this.pool.inherited().markReconciled("w");
		assertThat(this.pool.mayGrantLease(worker)).isFalse();
		assertThat(worker.isAcceptingWork(1)).isFalse();
		assertThat(writeRecord().silentWorkers()).isEmpty();
		assertThat(worker.isAcceptingWork(1)).isTrue();
	}

	@Test
	void aDrainingWorkerIsRecordedWithTasksWhoseEndsTheNextOwnerWouldNotKnow() {
		PoolWorker worker = addReachableWorker();
		TerminatedTask processed = new TerminatedTask(1, TASK, 1, TerminationReason.DONE, "");
		worker.terminations().markProcessed(processed, 0);
		worker.terminations().defer(List.of(new TerminatedTask(2, UNLOADED, 1, TerminationReason.DONE, "")));
		this.pool.update(List.of(new WorkerInfo(INFO.id(), INFO.service(), INFO.address(), INFO.failureDomain(),
				INFO.capacity(), INFO.labels(), INFO.rack(), true, 2000, INFO.startedMillis())));
		assertThat(this.pool.workersToRecord(true, 0).closedWorkers().get("w"))
			.containsExactlyInAnyOrder(TASK.toString(), UNLOADED.toString());
		assertThat(this.pool.workersToRecord(false, 0).closedWorkers().get("w")).containsExactly(UNLOADED.toString());
		worker.terminations().markDurable(new TerminationSequence.Written(1, Set.of()), 1);
		assertThat(this.pool.workersToRecord(true, 0).closedWorkers().get("w")).containsExactly(UNLOADED.toString());
	}

	@Nested
	class SilentWorkers {

		private final WorkerPool pool = WorkerPoolTests.this.pool;

		private Map<String, Long> namedAt(long millis) {
			return this.pool.workersToRecord(false, TimeUnit.MILLISECONDS.toNanos(millis)).silentWorkers();
		}

		private void inherit(Map<String, Long> silentWorkers) {
			OwnerRecord record = new OwnerRecord("h", "s0", 100, 1, false, List.of("w"), Map.of(), HostSize.UNKNOWN,
					List.of(), true, true, Map.of("w", 5L), Map.of(), silentWorkers, Map.of(), 0L, "");
			this.pool.recoverFrom(new TakeOver(record, 2, 0, 0, record, 0, formerEnd(0), 0, 0));
		}

		private PoolWorker listWorker(OptionalLong startedMillis) {
			this.pool.update(List.of(new WorkerInfo(INFO.id(), INFO.service(), INFO.address(), INFO.failureDomain(),
					INFO.capacity(), INFO.labels(), INFO.rack(), false, 0, startedMillis)));
			return this.pool.worker("w").orElseThrow();
		}

		private void runTask(PoolWorker worker) {
			worker.add(Run.starting(TASK, 1, "w", new Resources(1000, 100, 0), 0));
		}

		@Test
		void areNamedWithTheTimeThatInheritedLeasesLast() {
			inherit(Map.of("w", 6000L));
			listWorker(INFO.startedMillis()).markUnreachable(0);
			assertThat(namedAt(1000).get("w")).isBetween(5000L, 5001L);
			assertThat(namedAt(7000)).containsEntry("w", 0L);
		}

		@Test
		void areNamedWithTheTimeThatOwnLeasesLast() {
			PoolWorker worker = addReachableWorker();
			runTask(worker);
			worker.lease().updateClock(20_001, TimeUnit.SECONDS.toNanos(20));
			worker.lease().extend(TimeUnit.SECONDS.toNanos(20), 7000);
			worker.markUnreachable(TimeUnit.SECONDS.toNanos(21));
			assertThat(namedAt(22_000).get("w")).isEqualTo(worker.lease().remainingMillis(TimeUnit.SECONDS.toNanos(22)))
				.isGreaterThan(5000L);
		}

		@Test
		void areNamedWithTheLargerOfBothTimes() {
			PoolWorker worker = addReachableWorker();
			worker.markUnreachable(0);
			long nowNanos = TimeUnit.SECONDS.toNanos(8);
			OwnerRecord record = new OwnerRecord("h", "s0", 100, 1, false, List.of("w"), Map.of(), HostSize.UNKNOWN,
					List.of(), true, true, Map.of("w", 5L), Map.of(), Map.of(), Map.of(), 0L, "");
			this.pool.recoverFrom(new TakeOver(record, 2, 0, 0, record, nowNanos, formerEnd(nowNanos), 0, 0));
			assertThat(worker.lease().remainingMillis(nowNanos)).isBetween(1L, 3000L);
			assertThat(namedAt(8000).get("w")).isBetween(OwnerLease.MAX_FORMER_LEASE_MILLIS,
					OwnerLease.MAX_FORMER_LEASE_MILLIS + 1);
			worker.lease().extend(nowNanos, 2 * OwnerLease.MAX_FORMER_LEASE_MILLIS);
			assertThat(namedAt(8000).get("w")).isEqualTo(worker.lease().remainingMillis(nowNanos));
		}

		@Test
		void doNotIncludeAWorkerThatIsNotPolledYet() {
			inherit(Map.of());
			listWorker(INFO.startedMillis());
			assertThat(namedAt(0)).isEmpty();
		}

		@Test
		void includeAWorkerThatIsNotListed() {
			inherit(Map.of());
			assertThat(namedAt(0)).isEmpty();
			this.pool.update(List.of());
			assertThat(namedAt(1000)).containsOnlyKeys("w");
		}

		@Test
		void areGrantedNoLeaseFromTheCompositionOfTheRecordOn() {
			PoolWorker worker = addReachableWorker();
			runTask(worker);
			assertThat(this.pool.mayGrantLease(worker)).isTrue();
			worker.markUnreachable(0);
			assertThat(this.pool.mayGrantLease(worker)).isTrue();
			assertThat(namedAt(0)).containsKey("w");
			assertThat(this.pool.mayGrantLease(worker)).isFalse();
		}

		@Test
		void areGrantedNoLeaseBeforeARecordWithoutThemIsDurable() {
			PoolWorker worker = addReachableWorker();
			runTask(worker);
			worker.markUnreachable(0);
			OwnerRecord named = composeRecord();
			worker.markReachable();
			assertThat(this.pool.mayGrantLease(worker)).isFalse();
			this.pool.markRecorded(named);
			assertThat(this.pool.mayGrantLease(worker)).isFalse();
			assertThat(worker.isAcceptingWork(1)).isFalse();
			assertThat(this.pool.hasUnrecordedWorkers()).isTrue();
			OwnerRecord next = composeRecord();
			assertThat(this.pool.mayGrantLease(worker)).isFalse();
			assertThat(worker.isAcceptingWork(1)).isFalse();
			this.pool.markRecorded(next);
			assertThat(this.pool.mayGrantLease(worker)).isTrue();
			assertThat(worker.isAcceptingWork(1)).isTrue();
		}

		@Test
		void ofTheTakenOverRecordAreGrantedNoLease() {
			inherit(Map.of("w", 6000L));
			PoolWorker worker = addReachableWorker();
			assertThat(this.pool.mayGrantLease(worker)).isFalse();
			assertThat(worker.isAcceptingWork(1)).isFalse();
			writeRecord();
			assertThat(this.pool.mayGrantLease(worker)).isTrue();
			assertThat(worker.isAcceptingWork(1)).isTrue();
		}

		@Test
		void acceptNoWorkOnceTheyAreListedAgain() {
			inherit(Map.of());
			this.pool.update(List.of());
			OwnerRecord named = composeRecord();
			PoolWorker worker = addReachableWorker();
			assertThat(worker.isAcceptingWork(1)).isFalse();
			this.pool.markRecorded(named);
			assertThat(worker.isAcceptingWork(1)).isFalse();
			writeRecord();
			assertThat(worker.isAcceptingWork(1)).isTrue();
		}

		@Test
		void acceptNoWorkOnceTheyAreListedAgainAfterTheWrite() {
			inherit(Map.of());
			this.pool.update(List.of());
			writeRecord();
			PoolWorker worker = addReachableWorker();
			assertThat(worker.isAcceptingWork(1)).isFalse();
			writeRecord();
			assertThat(worker.isAcceptingWork(1)).isTrue();
		}

		@Test
		void acceptNoWorkIfTheirStartIsNotKnown() {
			OwnerRecord record = new OwnerRecord("h", "s0", 100, 1, false, List.of("w"), Map.of(), HostSize.UNKNOWN,
					List.of(), true, true, Map.of(), Map.of(), Map.of(), Map.of(), 0L, "");
			this.pool.recoverFrom(new TakeOver(record, 2, 0, 0, record, 0, formerEnd(0), 0, 0));
			PoolWorker worker = listWorker(OptionalLong.empty());
			worker.markUnreachable(0);
			writeRecord();
			worker.markReachable();
			this.pool.inherited().markReconciled("w");
			assertThat(worker.isAcceptingWork(1)).isFalse();
			writeRecord();
			assertThat(worker.isAcceptingWork(1)).isTrue();
		}

	}

}
