package org.monsoonrelay.logic.text;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * declared, cycles, work that its team's quota can never hold. Not thread-safe; one
 * instance checks one text.
 */
final class ReferenceCheck {

	private final CellText text;

	private final List<TextFault> faults = new ArrayList<>();

	private final Map<String, String> pointerByName = new HashMap<>();

	private final Map<String, List<String>> dependencies = new HashMap<>();

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
		Set<String> names = new HashSet<>();
		for (int index = 0; index < this.text.teams().size(); index++) {
			String name = this.text.teams().get(index).name();
			if (!names.add(name)) {
				fault("/teams/" + index + "/name", "team '" + name + "' is declared twice");
			}
		}
	}

	private void checkService(String pointer, ServiceDeclaration service) {
		declare(pointer, service.name(), service.dependsOn());
		checkQuota(pointer, service.team(), service.size(), 1);
		Set<String> operations = new HashSet<>();
		for (int index = 0; index < service.operations().size(); index++) {
			Operation operation = service.operations().get(index);
			if (!operations.add(operation.name())) {
				fault(pointer + "/operations/" + index + "/name",
						"operation '" + operation.name() + "' is declared twice");
			}
		}
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
		String earlier = this.pointerByName.putIfAbsent(name, pointer);
		if (earlier != null) {
			fault(pointer + "/name", "'" + name + "' is already declared at " + earlier);
		}
		this.dependencies.put(name, dependsOn);
	}

	private void checkQuota(String pointer, String teamName, Resources size, int together) {
		Optional<Team> team = this.text.team(teamName);
		if (team.isEmpty()) {
			fault(pointer + "/team", "team '" + teamName + "' is not declared");
		}
		else if (!team.get().quota().covers(size.times(together))) {
			fault(pointer + "/size", "can never run: " + together + " task(s) of " + size
					+ " exceed the quota of team '" + teamName + "' " + team.get().quota());
		}
	}

	private void checkTargets(String pointer, List<Target> targets, Set<String> operations) {
		for (int index = 0; index < targets.size(); index++) {
			Target target = targets.get(index);
			String place = pointer + "/targets/" + index;
			if (target.kind() == TargetKind.ANSWER_WITHIN && !operations.contains(target.operation())) {
				fault(place + "/operation", "operation '" + target.operation() + "' is not declared here");
			}
			if (target.kind() == TargetKind.FINISH_BY && target.by() == null) {
				fault(place, "a finish_by target needs 'by'");
			}
			if (target.kind() != TargetKind.FINISH_BY && target.withinMillis() <= 0) {
				fault(place, "this target needs 'withinMillis'");
			}
		}
	}

	private void checkDependencies() {
		this.dependencies.forEach((name, needed) -> {
			String pointer = this.pointerByName.get(name) + "/dependsOn";
			for (int index = 0; index < needed.size(); index++) {
				if (!this.dependencies.containsKey(needed.get(index))) {
					fault(pointer + "/" + index, "'" + needed.get(index) + "' is not declared");
				}
			}
			if (reaches(name, name, new HashSet<>())) {
				fault(pointer, "'" + name + "' depends on itself");
			}
		});
	}

	private boolean reaches(String from, String wanted, Set<String> seen) {
		for (String next : this.dependencies.getOrDefault(from, List.of())) {
			if (next.equals(wanted) || (seen.add(next) && reaches(next, wanted, seen))) {
				return true;
			}
		}
		return false;
	}

	private void fault(String pointer, String reason) {
		this.faults.add(new TextFault(pointer, reason));
	}

}
