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
 * Checks what a schema cannot: names used twice, teams and dependencies that are not
 * declared, cycles, work that its team's quota can never hold. What a text with faults of
 * other kinds leaves out is passed over. Not thread-safe; one instance checks one text.
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

	private Set<String> names(String prefix, String what, List<String> names) {
		Set<String> distinct = new HashSet<>();
		for (int index = 0; index < names.size(); index++) {
			String name = names.get(index);
			if (name != null && !distinct.add(name)) {
				fault(prefix + index + "/name", what + " '" + name + "' is declared twice");
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

	private void checkRuns(String prefix, List<RunDeclaration> runs, boolean together) {
		for (int index = 0; index < runs.size(); index++) {
			RunDeclaration run = runs.get(index);
			String pointer = prefix + index;
			declare(pointer, run.name(), run.dependsOn());
			checkQuota(pointer, run.team(), run.size(), together ? run.tasks() : 1);
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

	private void checkQuota(String pointer, String teamName, Resources size, int together) {
		if (teamName == null || size == null) {
			return;
		}
		Optional<Team> team = this.text.team(teamName);
		if (team.isEmpty()) {
			fault(pointer + "/team", "team '" + teamName + "' is not declared");
		}
		else if (team.get().quota() != null && !covers(team.get().quota(), size, together)) {
			fault(pointer + "/size", "can never run: " + together + " task(s) of " + size
					+ " exceed the quota of team '" + teamName + "' " + team.get().quota());
		}
	}

	private static boolean covers(Resources quota, Resources size, long count) {
		return size.processors() * count <= quota.processors() && size.memoryMiB() * count <= quota.memoryMiB()
				&& size.accelerators() * count <= quota.accelerators();
	}

	private void checkTargets(String pointer, List<Target> targets, Set<String> operations) {
		names(pointer + "/targets/", "target", targets.stream().map(Target::name).toList());
		for (int index = 0; index < targets.size(); index++) {
			Target target = targets.get(index);
			String place = pointer + "/targets/" + index;
			if (target.kind() == TargetKind.ANSWER_WITHIN && !operations.contains(target.operation())) {
				fault(place + "/operation", "operation '" + target.operation() + "' is not declared here");
			}
			if (target.kind() == TargetKind.FINISH_BY && target.by() == null) {
				fault(place, "a finish_by target needs 'by'");
			}
			if (target.kind() != null && target.kind() != TargetKind.FINISH_BY && target.withinMillis() <= 0) {
				fault(place, "this target needs 'withinMillis'");
			}
		}
	}

	private void checkDependencies() {
		this.dependencies.forEach((name, needed) -> {
			for (int index = 0; index < needed.size(); index++) {
				if (!this.dependencies.containsKey(needed.get(index))) {
					fault(place(name, index), "'" + needed.get(index) + "' is not declared");
				}
			}
		});
		new CycleCheck(this.dependencies)
			.forEach((closing, way) -> fault(place(closing.name(), closing.index()), "closes a cycle: " + way));
	}

	private String place(String name, int index) {
		return this.pointerByName.get(name) + "/dependsOn/" + index;
	}

	private void fault(String pointer, String reason) {
		this.faults.add(new TextFault(pointer, reason));
	}

}
