package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.WorkloadKind;

import static org.assertj.core.api.Assertions.assertThat;

class TeamSchedulerTests {

	private static final Duration TICK = Duration.ofMillis(50);

	private static final Duration URGENT_STARTS_WITHIN = Duration.ofMillis(4100);

	private final FakeRacks racks = new FakeRacks();

	private static Resources processors(int count) {
		return new Resources(count, 1000, 0);
	}

	private QueueOwner owner(long seed) {
		QueueOwner owner = new QueueOwner(this.racks, seed);
		owner.team("crew", 1000, 1);
		return owner;
	}

	private void step(QueueOwner... owners) {
		for (QueueOwner owner : owners) {
			owner.readSummaries();
			owner.round();
		}
		while (this.racks.deliver()) {
			List.of(owners).forEach(QueueOwner::drain);
		}
		for (QueueOwner owner : owners) {
			owner.drain();
			owner.now = owner.now.plus(TICK);
			this.racks.lapse(owner.now);
		}
	}

	@Nested
	class Gangs {

		@Test
		void twoThatWantTheSameRoomBothFinish() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(4));
			TeamSchedulerTests.this.racks.add("south", "rack-2", processors(4));
			QueueOwner first = owner(1);
			QueueOwner second = owner(2);
			Job one = first.job("crew", "one", WorkloadKind.GANG, 7, 1, false, false);
			Job other = second.job("crew", "other", WorkloadKind.GANG, 7, 1, false, false);

			for (int step = 0; step < 400; step++) {
				step(first, second);
				finishWhole(one);
				finishWhole(other);
			}

			assertThat(one.counts()).isEqualTo(Map.of(TaskState.FINISHED, 7));
			assertThat(other.counts()).isEqualTo(Map.of(TaskState.FINISHED, 7));
		}

		private void finishWhole(Job job) {
			List<AttemptId> running = job.openAttempts()
				.stream()
				.filter(TeamSchedulerTests.this.racks.running::containsKey)
				.toList();
			assertThat(running.size()).isIn(0, job.workload().tasks());
			running.forEach((attempt) -> {
				job.finished(attempt);
				TeamSchedulerTests.this.racks.end(attempt);
			});
		}

		@Test
		void oneThatFindsNoRoomForAllLeavesTheRoomToOthers() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(4));
			QueueOwner owner = owner(1);
			Job gang = owner.job("crew", "gang", WorkloadKind.GANG, 5, 1, false, false);
			owner.now = owner.now.plus(TICK);
			Job batch = owner.job("crew", "later", WorkloadKind.BATCH, 4, 1, false, false);

			step(owner);

			assertThat(gang.openAttempts()).isEmpty();
			assertThat(TeamSchedulerTests.this.racks.running.keySet())
				.containsExactlyInAnyOrderElementsOf(batch.openAttempts());
			assertThat(batch.openCount()).isEqualTo(4);
		}

		@Test
		void oneWhoseRecordIsDurableOnlyAfterItsDeadlineStartsNothing() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(4));
			QueueOwner owner = owner(1);
			Job wages = owner.job("crew", "wages", WorkloadKind.GANG, 4, 1, true, false);
			owner.table.setDown(true);
			step(owner);
			step(owner);
			assertThat(wages.count(TaskState.STARTING)).isEqualTo(4);

			owner.now = owner.now.plusSeconds(4);
			owner.table.setDown(false);
			owner.drain();

			assertThat(TeamSchedulerTests.this.racks.running).isEmpty();
			assertThat(wages.counts()).isEqualTo(Map.of(TaskState.WAITING, 4));
		}

	}

	@Nested
	class Teams {

		@Test
		void shareTheCellByTheirWeights() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(400));
			QueueOwner owner = owner(1);
			owner.team("booking", 1000, 3);
			Job crew = owner.job("crew", "a-batch", WorkloadKind.BATCH, 1000, 1, false, false);
			Job booking = owner.job("booking", "b-batch", WorkloadKind.BATCH, 1000, 1, false, false);

			step(owner);

			assertThat(crew.openCount() + booking.openCount()).isEqualTo(400);
			assertThat(booking.openCount()).isBetween(280, 320);
		}

		@Test
		void neverGoOverTheirQuota() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(400));
			QueueOwner owner = owner(1);
			owner.team("small", 10, 100);
			Job first = owner.job("small", "first", WorkloadKind.BATCH, 5, 3, false, false);
			Job second = owner.job("small", "second", WorkloadKind.BATCH, 50, 1, false, true);

			step(owner);
			step(owner);

			assertThat(first.openCount() * 3 + second.openCount()).isEqualTo(10);
			assertThat(owner.waitReason(second)).isEqualTo(WaitReason.QUOTA);
		}

	}

	@Nested
	class UrgentWork {

		@Test
		void thatFindsNoRoomStopsBatchWorkAndStartsInTime() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(4), processors(4));
			QueueOwner owner = owner(1);
			Job batch = owner.job("crew", "batch", WorkloadKind.BATCH, 8, 1, false, false);
			step(owner);
			owner.hearWorkers();
			owner.now = owner.now.plusSeconds(1);
			Job urgent = owner.job("crew", "urgent", WorkloadKind.BATCH, 1, 2, false, true);
			owner.readSummaries();

			while (urgent.openCount() == 0 && owner.now.isBefore(urgent.readySince().plus(URGENT_STARTS_WITHIN))) {
				owner.round();
				owner.settle();
				owner.hearWorkers();
				owner.now = owner.now.plus(TICK);
			}

			assertThat(TeamSchedulerTests.this.racks.running)
				.containsKeys(urgent.openAttempts().toArray(new AttemptId[0]));
			assertThat(urgent.openCount()).isEqualTo(1);
			assertThat(TeamSchedulerTests.this.racks.stopped).hasSize(2);
			assertThat(batch.counts()).isEqualTo(Map.of(TaskState.RUNNING, 6, TaskState.WAITING, 2));
		}

		@Test
		void neverStopsWorkThatMustRunOnceNorServicesNorGangs() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(6));
			QueueOwner owner = owner(1);
			owner.job("crew", "wages", WorkloadKind.BATCH, 2, 1, true, false);
			owner.job("crew", "desk", WorkloadKind.SERVICE, 2, 1, false, false);
			owner.job("crew", "gang", WorkloadKind.GANG, 2, 1, false, false);
			step(owner);
			owner.hearWorkers();
			assertThat(TeamSchedulerTests.this.racks.running).hasSize(6);
			Job urgent = owner.job("crew", "urgent", WorkloadKind.BATCH, 1, 1, false, true);

			step(owner);
			step(owner);

			assertThat(TeamSchedulerTests.this.racks.stopped).isEmpty();
			assertThat(owner.waitReason(urgent)).isEqualTo(WaitReason.NO_ROOM);
		}

	}

	@Nested
	class Placing {

		@Test
		void spreadsAServiceOverFailureDomainsAndRacks() {
			for (String domain : List.of("north", "south", "east")) {
				for (int rack = 1; rack <= 30; rack++) {
					TeamSchedulerTests.this.racks.add(domain, domain + rack, processors(8), processors(8));
				}
			}
			QueueOwner owner = owner(1);
			owner.job("crew", "desk", WorkloadKind.SERVICE, 30, 1, false, false);

			step(owner);

			List<String> used = TeamSchedulerTests.this.racks.running.values()
				.stream()
				.map((worker) -> worker.id().value().substring(0, worker.id().value().lastIndexOf('-')))
				.toList();
			assertThat(used).doesNotHaveDuplicates();
			assertThat(used.stream()
				.collect(Collectors.groupingBy(TeamSchedulerTests.this.racks.domains::get, Collectors.counting())))
				.isEqualTo(Map.of("north", 10L, "south", 10L, "east", 10L));
		}

		@Test
		void refusesAtOnceWhatNoWorkerCouldEverHold() {
			TeamSchedulerTests.this.racks.add("north", "rack-1", processors(8), processors(8));
			QueueOwner owner = owner(1);
			Host worker = new Host("rack-1-0", HostAddress.parse("127.0.0.1:1"), HostKind.WORKER, "incarnation-1",
					"north", "rack-1", "", HostState.LIVE, processors(8));
			owner.directory.listed(List.of(worker, worker));
			Job tooLarge = owner.job("crew", "large", WorkloadKind.BATCH, 1, 9, false, false);
			Job tooMany = owner.job("crew", "many", WorkloadKind.GANG, 17, 1, false, false);
			Job fitting = owner.job("crew", "fits", WorkloadKind.BATCH, 1, 8, false, false);

			step(owner);

			assertThat(owner.waitReason(tooLarge)).isEqualTo(WaitReason.NEVER_FITS);
			assertThat(owner.waitReason(tooMany)).isEqualTo(WaitReason.NEVER_FITS);
			assertThat(TeamSchedulerTests.this.racks.running.keySet())
				.containsExactlyElementsOf(fitting.openAttempts());
		}

	}

}
