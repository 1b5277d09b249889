package org.monsoonrelay.model.workload;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The parsed configuration text of a cell. Immutable.
 *
 * @param cell name of the cell
 * @param policy weights of the placement objectives
 * @param teams teams with their quotas
 * @param services declared services
 * @param batchRuns declared batch runs
 * @param jobs declared gang jobs
 */
public record CellText(String cell, PolicyWeights policy, List<Team> teams, List<ServiceDeclaration> services,
		List<RunDeclaration> batchRuns, List<RunDeclaration> jobs) {

	/**
	 * Configuration that declares nothing.
	 */
	public static final CellText EMPTY = new CellText("", PolicyWeights.EQUAL, List.of(), List.of(), List.of(),
			List.of());

	public CellText {
		policy = (policy != null) ? policy : PolicyWeights.EQUAL;
		teams = (teams != null) ? List.copyOf(teams) : List.of();
		services = (services != null) ? List.copyOf(services) : List.of();
		batchRuns = (batchRuns != null) ? List.copyOf(batchRuns) : List.of();
		jobs = (jobs != null) ? List.copyOf(jobs) : List.of();
	}

	/**
	 * All declared workloads in the form that placement uses.
	 * @return the workloads
	 */
	public List<Workload> workloads() {
		Stream<Workload> longRunning = this.services.stream().map(ServiceDeclaration::workload);
		Stream<Workload> batch = this.batchRuns.stream().map((run) -> run.workload(WorkloadKind.BATCH));
		Stream<Workload> gangs = this.jobs.stream().map((run) -> run.workload(WorkloadKind.GANG));
		return Stream.of(longRunning, batch, gangs).flatMap((stream) -> stream).toList();
	}

	/**
	 * Names of the workloads that each team's workloads depend on.
	 * @return the names by team; teams without dependencies are omitted
	 */
	public Map<String, Set<String>> dependenciesByTeam() {
		Map<String, Set<String>> names = new TreeMap<>();
		for (Workload workload : workloads()) {
			if (!workload.dependsOn().isEmpty()) {
				names.computeIfAbsent(workload.team(), (team) -> new TreeSet<>()).addAll(workload.dependsOn());
			}
		}
		return names;
	}

	/**
	 * Find a service by name.
	 * @param name the service's name
	 * @return the service, if declared
	 */
	public Optional<ServiceDeclaration> service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Find a team by name.
	 * @param name the team's name
	 * @return the team, if declared
	 */
	public Optional<Team> team(String name) {
		return this.teams.stream().filter((team) -> team.name().equals(name)).findFirst();
	}

}
