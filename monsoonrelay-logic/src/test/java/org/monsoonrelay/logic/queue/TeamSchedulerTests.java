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

	private static final Duration URGENT_START_LIMIT = Duration.ofMillis(4100);

	private final FakeRackOwners racks = new FakeRackOwners();

	private static Resources processors(int count) {
		return new Resources(count, 1000, 0);
	}

	private ManualQueueOwner owner(long seed) {
		ManualQueueOwner owner = new ManualQueueOwner(this.racks, seed);
		owner.addTeam("crew", 1000, 1);
		return owner;
	}

	private void runStep(ManualQueueOwner... owners) {
		for (ManualQueueOwner owner : owners) {
			owner.readSummaries();
			owner.runRound();
		}
		while (this.racks.deliverRequests()) {
			List.of(owners).forEach(ManualQueueOwner::drain);
		}
		for (ManualQueueOwner owner : owners) {
			owner.drain();
			owner.now = owner.now.plus(TICK);
			this.racks.expireReservations(owner.now);
		}
	}

	@Nested
	class Gangs {

		@Test
		void twoCompetingForTheSameCapacityBothFinish() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(4));
			TeamSchedulerTests.this.racks.addRack("south", "rack-2", processors(4));
			ManualQueueOwner first = owner(1);
			ManualQueueOwner second = owner(2);
			Job one = first.addJob("crew", "one", WorkloadKind.GANG, 7, 1, false, false);
			Job other = second.addJob("crew", "other", WorkloadKind.GANG, 7, 1, false, false);

			for (int step = 0; step < 400; step++) {
				runStep(first, second);
				finishIfAllTasksRun(one);
				finishIfAllTasksRun(other);
			}

			assertThat(one.stateCounts()).isEqualTo(Map.of(TaskState.FINISHED, 7));
			assertThat(other.stateCounts()).isEqualTo(Map.of(TaskState.FINISHED, 7));
		}

		private void finishIfAllTasksRun(Job job) {
			List<AttemptId> running = job.openAttempts()
				.stream()
				.filter(TeamSchedulerTests.this.racks.running::containsKey)
				.toList();
			assertThat(running.size()).isIn(0, job.workload().tasks());
			running.forEach((attempt) -> {
				job.markFinished(attempt);
				TeamSchedulerTests.this.racks.endAttempt(attempt);
			});
		}

		@Test
		void oneThatDoesNotFitLeavesCapacityToOthers() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(4));
			ManualQueueOwner owner = owner(1);
			Job gang = owner.addJob("crew", "gang", WorkloadKind.GANG, 5, 1, false, false);
			owner.now = owner.now.plus(TICK);
			Job batch = owner.addJob("crew", "later", WorkloadKind.BATCH, 4, 1, false, false);

			runStep(owner);

			assertThat(gang.openAttempts()).isEmpty();
			assertThat(TeamSchedulerTests.this.racks.running.keySet())
				.containsExactlyInAnyOrderElementsOf(batch.openAttempts());
			assertThat(batch.openCount()).isEqualTo(4);
		}

		@Test
		void oneWhoseRecordIsDurableOnlyAfterItsDeadlineStartsNothing() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(4));
			ManualQueueOwner owner = owner(1);
			Job wages = owner.addJob("crew", "wages", WorkloadKind.GANG, 4, 1, true, false);
			owner.table.setDown(true);
			runStep(owner);
			runStep(owner);
			assertThat(wages.count(TaskState.STARTING)).isEqualTo(4);

			owner.now = owner.now.plusSeconds(4);
			owner.table.setDown(false);
			owner.drain();

			assertThat(TeamSchedulerTests.this.racks.running).isEmpty();
			assertThat(wages.stateCounts()).isEqualTo(Map.of(TaskState.WAITING, 4));
		}

	}

	@Nested
	class Teams {

		@Test
		void shareTheCellByTheirWeights() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(400));
			ManualQueueOwner owner = owner(1);
			owner.addTeam("booking", 1000, 3);
			Job crew = owner.addJob("crew", "a-batch", WorkloadKind.BATCH, 1000, 1, false, false);
			Job booking = owner.addJob("booking", "b-batch", WorkloadKind.BATCH, 1000, 1, false, false);

			runStep(owner);

			assertThat(crew.openCount() + booking.openCount()).isEqualTo(400);
			assertThat(booking.openCount()).isBetween(280, 320);
		}

		@Test
		void neverExceedTheirQuota() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(400));
			ManualQueueOwner owner = owner(1);
			owner.addTeam("small", 10, 100);
			Job first = owner.addJob("small", "first", WorkloadKind.BATCH, 5, 3, false, false);
			Job second = owner.addJob("small", "second", WorkloadKind.BATCH, 50, 1, false, true);

			runStep(owner);
			runStep(owner);

			assertThat(first.openCount() * 3 + second.openCount()).isEqualTo(10);
			assertThat(owner.waitReason(second)).isEqualTo(WaitReason.QUOTA);
		}

	}

	@Nested
	class UrgentWork {

		@Test
		void withoutFreeCapacityPreemptsBatchWorkAndStartsInTime() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(4), processors(4));
			ManualQueueOwner owner = owner(1);
			Job batch = owner.addJob("crew", "batch", WorkloadKind.BATCH, 8, 1, false, false);
			runStep(owner);
			owner.applyWorkerReports();
			owner.now = owner.now.plusSeconds(1);
			Job urgent = owner.addJob("crew", "urgent", WorkloadKind.BATCH, 1, 2, false, true);
			owner.readSummaries();

			while (urgent.openCount() == 0 && owner.now.isBefore(urgent.readySince().plus(URGENT_START_LIMIT))) {
				owner.runRound();
				owner.deliverAll();
				owner.applyWorkerReports();
				owner.now = owner.now.plus(TICK);
			}

			assertThat(TeamSchedulerTests.this.racks.running)
				.containsKeys(urgent.openAttempts().toArray(new AttemptId[0]));
			assertThat(urgent.openCount()).isEqualTo(1);
			assertThat(TeamSchedulerTests.this.racks.stopped).hasSize(2);
			assertThat(batch.stateCounts()).isEqualTo(Map.of(TaskState.RUNNING, 6, TaskState.WAITING, 2));
		}

		@Test
		void neverPreemptsRunOnceWorkServicesOrGangs() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(6));
			ManualQueueOwner owner = owner(1);
			owner.addJob("crew", "wages", WorkloadKind.BATCH, 2, 1, true, false);
			owner.addJob("crew", "desk", WorkloadKind.SERVICE, 2, 1, false, false);
			owner.addJob("crew", "gang", WorkloadKind.GANG, 2, 1, false, false);
			runStep(owner);
			owner.applyWorkerReports();
			assertThat(TeamSchedulerTests.this.racks.running).hasSize(6);
			Job urgent = owner.addJob("crew", "urgent", WorkloadKind.BATCH, 1, 1, false, true);

			runStep(owner);
			runStep(owner);

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
					TeamSchedulerTests.this.racks.addRack(domain, domain + rack, processors(8), processors(8));
				}
			}
			ManualQueueOwner owner = owner(1);
			owner.addJob("crew", "desk", WorkloadKind.SERVICE, 30, 1, false, false);

			runStep(owner);

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
		void reportsWorkThatNoWorkerCanHoldAsNeverFitting() {
			TeamSchedulerTests.this.racks.addRack("north", "rack-1", processors(8), processors(8));
			ManualQueueOwner owner = owner(1);
			Host worker = new Host("rack-1-0", HostAddress.parse("127.0.0.1:1"), HostKind.WORKER, "incarnation-1",
					"north", "rack-1", "", HostState.LIVE, processors(8));
			owner.directory.updateHosts(List.of(worker, worker));
			Job tooLarge = owner.addJob("crew", "large", WorkloadKind.BATCH, 1, 9, false, false);
			Job tooMany = owner.addJob("crew", "many", WorkloadKind.GANG, 17, 1, false, false);
			Job fitting = owner.addJob("crew", "fits", WorkloadKind.BATCH, 1, 8, false, false);

			runStep(owner);

			assertThat(owner.waitReason(tooLarge)).isEqualTo(WaitReason.NEVER_FITS);
			assertThat(owner.waitReason(tooMany)).isEqualTo(WaitReason.NEVER_FITS);
			assertThat(TeamSchedulerTests.this.racks.running.keySet())
				.containsExactlyElementsOf(fitting.openAttempts());
		}

	}

}
