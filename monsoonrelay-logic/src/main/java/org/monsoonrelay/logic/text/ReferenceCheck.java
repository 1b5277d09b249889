package org.monsoonrelay.logic.text;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.Operation;
import org.monsoonrelay.model.workload.RunDeclaration;
import org.monsoonrelay.model.workload.ServiceDeclaration;
import org.monsoonrelay.model.workload.Target;
import org.monsoonrelay.model.workload.TargetKind;
import org.monsoonrelay.model.workload.Team;

/**
 * Checks what the schema cannot express: duplicate names, undeclared teams and
 * dependencies, dependency cycles, and work that exceeds the quota of its team.
 * Properties missing from the text are skipped; the schema check reports them. Not
 * thread-safe; one instance checks one text.
 */
final class ReferenceCheck {

	private final CellText text;

	private final List<TextFault> faults = new ArrayList<>();

	private final Map<String, String> pointerByName = new HashMap<>();

	private final Map<String, List<String>> dependencies = new LinkedHashMap<>();

	ReferenceCheck(CellText text) {
		this.text = text;
	}

	List<TextFault> faults() {
		checkTeams();
		for (int index = 0; index < this.text.services().size(); index++) {
			checkService("/services/" + index, this.text.services().get(index));
		}
		checkRuns("/batchRuns/", this.text.batchRuns(), false);
		checkRuns("/jobs/", this.text.jobs(), true);
		checkDependencies();
		return this.faults;
	}

	private void checkTeams() {
		names("/teams/", "team", this.text.teams().stream().map(Team::name).toList());
	}

	private Set<String> names(String prefix, String kind, List<String> names) {
		Set<String> distinct = new HashSet<>();
		for (int index = 0; index < names.size(); index++) {
			String name = names.get(index);
			if (name != null && !distinct.add(name)) {
				fault(prefix + index + "/name", kind + " '" + name + "' is declared twice");
			}
		}
		return distinct;
	}

	private void checkService(String pointer, ServiceDeclaration service) {
		declare(pointer, service.name(), service.dependsOn());
		checkQuota(pointer, service.team(), service.size(), 1);
		Set<String> operations = names(pointer + "/operations/", "operation",
				service.operations().stream().map(Operation::name).toList());
		checkTargets(pointer, service.targets(), operations);
	}

	private void checkRuns(String prefix, List<RunDeclaration> runs, boolean isGang) {
		for (int index = 0; index < runs.size(); index++) {
			RunDeclaration run = runs.get(index);
			String pointer = prefix + index;
			declare(pointer, run.name(), run.dependsOn());
			checkQuota(pointer, run.team(), run.size(), isGang ? run.tasks() : 1);
			checkTargets(pointer, run.targets(), Set.of());
		}
	}

	private void declare(String pointer, String name, List<String> dependsOn) {
		if (name == null) {
			return;
		}
		String earlier = this.pointerByName.putIfAbsent(name, pointer);
		if (earlier != null) {
			fault(pointer + "/name", "'" + name + "' is already declared at " + earlier);
		}
		else {
			this.dependencies.put(name, dependsOn);
		}
	}

	private void checkQuota(String pointer, String teamName, Resources size, int concurrentTasks) {
		if (teamName == null || size == null) {
			return;
		}
		Optional<Team> team = this.text.team(teamName);
		if (team.isEmpty()) {
			fault(pointer + "/team", "team '" + teamName + "' is not declared");
		}
		else if (team.get().quota() != null && !fits(team.get().quota(), size, concurrentTasks)) {
			fault(pointer + "/size", "can never run: " + concurrentTasks + " task(s) of " + size
					+ " exceed the quota of team '" + teamName + "' " + team.get().quota());
		}
	}

	private static boolean fits(Resources quota, Resources size, long count) {
		return size.processors() * count <= quota.processors() && size.memoryMiB() * count <= quota.memoryMiB()
				&& size.accelerators() * count <= quota.accelerators();
	}

	private void checkTargets(String pointer, List<Target> targets, Set<String> operations) {
		names(pointer + "/targets/", "target", targets.stream().map(Target::name).toList());
		for (int index = 0; index < targets.size(); index++) {
			Target target = targets.get(index);
			String targetPointer = pointer + "/targets/" + index;
			if (target.kind() == TargetKind.ANSWER_WITHIN && !operations.contains(target.operation())) {
				fault(targetPointer + "/operation", "operation '" + target.operation() + "' is not declared here");
			}
			if (target.kind() == TargetKind.FINISH_BY && target.by() == null) {
				fault(targetPointer, "a finish_by target needs 'by'");
			}
			if (target.kind() != null && target.kind() != TargetKind.FINISH_BY && target.withinMillis() <= 0) {
				fault(targetPointer, "this target needs 'withinMillis'");
			}
		}
	}

	private void checkDependencies() {
		this.dependencies.forEach((name, dependsOn) -> {
			for (int index = 0; index < dependsOn.size(); index++) {
				if (!this.dependencies.containsKey(dependsOn.get(index))) {
					fault(dependencyPointer(name, index), "'" + dependsOn.get(index) + "' is not declared");
				}
			}
		});
		new CycleCheck(this.dependencies)
			.forEach((closing, cyclePath) -> fault(dependencyPointer(closing.name(), closing.index()),
					"closes a cycle: " + cyclePath));
	}

	private String dependencyPointer(String name, int index) {
		return this.pointerByName.get(name) + "/dependsOn/" + index;
	}

	private void fault(String pointer, String reason) {
		this.faults.add(new TextFault(pointer, reason));
	}

}
