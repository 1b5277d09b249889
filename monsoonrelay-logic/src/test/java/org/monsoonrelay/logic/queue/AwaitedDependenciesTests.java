package org.monsoonrelay.logic.queue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.RunDeclaration;

import static org.assertj.core.api.Assertions.assertThat;

class AwaitedDependenciesTests {

	private final AwaitedDependencies dependencies = new AwaitedDependencies();

	@BeforeEach
	void declare() {
		this.dependencies.update(new CellText("cell", null, List.of(), List.of(), List.of(run("roster", "salons"),
				run("mailing", "salons", "roster"), run("payroll", "office", "mailing")), List.of()));
	}

	private static RunDeclaration run(String name, String team, String... dependsOn) {
		return new RunDeclaration(name, "1", team, 1, CellData.TASK, 1, false, false, List.of(dependsOn), List.of());
	}

	@Test
	void includeNamesThatTeamsOfOtherOwnersDependOn() {
		assertThat(this.dependencies.awaitedByOtherOwners(Set.of("salons"), Set.of("roster", "mailing")))
			.containsExactly("mailing");
	}

	@Test
	void areEmptyWhileNoAwaitedWorkloadHasFinished() {
		assertThat(this.dependencies.awaitedByOtherOwners(Set.of("salons"), Set.of("roster"))).isEmpty();
	}

	@Test
	void doNotGrowWithTheNumberOfFinishedWorkloads() {
		Set<String> finished = new TreeSet<>(Set.of("mailing"));
		for (int run = 0; run < 10_000; run++) {
			finished.add("run-" + run);
		}

		assertThat(this.dependencies.awaitedByOtherOwners(Set.of("salons"), finished)).containsExactly("mailing");
	}

}
