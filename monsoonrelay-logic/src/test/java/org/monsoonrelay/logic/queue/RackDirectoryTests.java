package org.monsoonrelay.logic.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.placement.WeightedRackPolicy;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.workload.PolicyWeights;
import org.monsoonrelay.model.workload.WorkloadKind;

import static org.assertj.core.api.Assertions.assertThat;

class RackDirectoryTests {

	private static final Resources CAPACITY = new Resources(80, 80, 0);

	private static final Resources TASK = new Resources(1, 1, 0);

	private final RackDirectory directory = new RackDirectory(RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private static RackSummary rack(String name, Resources capacity, int processors) {
		return new RackSummary(name, "north", 1, 8, capacity,
				new Resources(processors, processors, capacity.accelerators()), processors, true);
	}

	private String choose(Resources size) {
		return this.directory.choose(WorkloadKind.BATCH, size, Map.of()).orElse("");
	}

	@Nested
	class WeightedChoice {

		@BeforeEach
		void twoRacks() {
			RackDirectoryTests.this.directory.update("session",
					List.of(rack("full", CAPACITY, 2), rack("empty", CAPACITY, 80)));
		}

		private String chosenBy(int waiting, int packing, int controlCost) {
			RackDirectoryTests.this.directory
				.beginRound(new WeightedRackPolicy(new PolicyWeights(waiting, packing, controlCost)));
			return choose(TASK);
		}

		@Test
		void packingPrefersTheFullestRackWithCapacity() {
			assertThat(chosenBy(1, 3, 1)).isEqualTo("full");
		}

		@Test
		void waitingPrefersTheRackLeastLikelyToRefuse() {
			assertThat(chosenBy(3, 1, 1)).isEqualTo("empty");
		}

		@Test
		void controlCostPrefersTheRackAlreadyChosenInTheRound() {
			RackDirectoryTests.this.directory.beginRound(new WeightedRackPolicy(new PolicyWeights(0, 1, 100)));
			assertThat(choose(new Resources(9, 9, 0))).isEqualTo("empty");

			assertThat(choose(TASK)).isEqualTo("empty");
		}

	}

	@Nested
	class AllRacks {

		private void list(String... racks) {
			RackDirectoryTests.this.directory.updateHosts(Stream.of(racks)
				.map((rack) -> new Host("worker-of-" + rack, HostAddress.parse("10.0.0.1:1"), HostKind.WORKER, "",
						"north", rack, "", HostState.LIVE, CAPACITY))
				.toList());
		}

		private boolean areKnownWith(String... racks) {
			RackDirectoryTests.this.directory.update("session",
					Stream.of(racks).map((rack) -> rack(rack, CAPACITY, 80)).toList());
			return RackDirectoryTests.this.directory.areAllRacksKnown();
		}

		@Test
		void areKnownOnceEachListedOneIs() {
			list("a", "b");
			assertThat(areKnownWith("a")).isFalse();
			assertThat(areKnownWith("a", "b")).isTrue();
		}

		@Test
		void areNotKnownByTheNumberOfThem() {
			list("a", "b");
			assertThat(areKnownWith("a", "no-longer-listed")).isFalse();
		}

		@Test
		void areNotKnownBeforeTheHostListIsRead() {
			assertThat(areKnownWith("a")).isFalse();
		}

	}

	@Nested
	class ARackThatRefused {

		@Test
		void isNotChosenForThatSizeUntilItsSummaryShowsMoreFreeCapacity() {
			List<RackSummary> summaries = List.of(rack("full", CAPACITY, 40), rack("other", CAPACITY, 80));
			RackDirectoryTests.this.directory.update("session", summaries);
			RackDirectoryTests.this.directory.recordRefusal("full", new Resources(2, 2, 0));

			RackDirectoryTests.this.directory.update("session",
					List.of(rack("full", CAPACITY, 39), rack("other", CAPACITY, 80)));
			assertThat(choose(new Resources(2, 2, 0))).isEqualTo("other");
			assertThat(choose(TASK)).isEqualTo("full");

			RackDirectoryTests.this.directory.update("session",
					List.of(rack("full", CAPACITY, 41), rack("other", CAPACITY, 80)));
			assertThat(choose(new Resources(2, 2, 0))).isEqualTo("full");
		}

		@Test
		void isChosenAgainAfterSeveralUnchangedSummaries() {
			List<RackSummary> summaries = List.of(rack("full", CAPACITY, 40), rack("other", CAPACITY, 80));
			RackDirectoryTests.this.directory.update("session", summaries);
			RackDirectoryTests.this.directory.recordRefusal("full", TASK);

			for (int summary = 0; summary < 6; summary++) {
				RackDirectoryTests.this.directory.update("session", summaries);
			}

			assertThat(choose(TASK)).isEqualTo("full");
		}

		@Test
		void losesToARackThatCertainlyFitsAfterFewRefusals() {
			List<RackSummary> summaries = new ArrayList<>(List.of(rack("certain", CAPACITY, 80)));
			for (int rack = 0; rack < 200; rack++) {
				summaries.add(rack("scattered-" + rack, CAPACITY, 7));
			}
			RackDirectoryTests.this.directory.update("session", summaries);
			RackDirectoryTests.this.directory.beginRound(new WeightedRackPolicy(new PolicyWeights(1, 9, 1)));

			int refusals = 0;
			for (String chosen = choose(TASK); !chosen.equals("certain"); chosen = choose(TASK)) {
				RackDirectoryTests.this.directory.recordRefusal(chosen, TASK);
				refusals++;
			}

			assertThat(refusals).isLessThan(20);
		}

	}

	@Nested
	class Accelerators {

		@Test
		void keepProcessorsFreeForTasksThatUseThem() {
			RackDirectoryTests.this.directory.update("session",
					List.of(rack("accelerators", new Resources(80, 80, 8), 40), rack("plain", CAPACITY, 80)));

			assertThat(choose(TASK)).isEqualTo("plain");
			assertThat(choose(new Resources(1, 1, 1))).isEqualTo("accelerators");
			assertThat(choose(new Resources(80, 80, 0))).isEmpty();
		}

	}

}
