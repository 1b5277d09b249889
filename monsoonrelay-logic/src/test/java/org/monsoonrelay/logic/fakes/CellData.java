package org.monsoonrelay.logic.fakes;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.RunDeclaration;
import org.monsoonrelay.model.workload.ServiceDeclaration;
import org.monsoonrelay.model.workload.Team;

/**
 * Hosts and declarations shared by the tests.
 */
public final class CellData {

	/** The team of all declared work. */
	public static final String TEAM = "crew";

	/** Size of each worker. */
	public static final Resources WORKER = new Resources(8, 8192, 0);

	/** Size of each task. */
	public static final Resources TASK = new Resources(1, 1024, 0);

	private CellData() {
	}

	/**
	 * Create a live worker.
	 * @param name its name
	 * @param rack its rack
	 * @return the host
	 */
	public static Host worker(String name, String rack) {
		return worker(name, rack, HostState.LIVE);
	}

	/**
	 * Create a worker.
	 * @param name its name
	 * @param rack its rack
	 * @param state its state
	 * @return the host
	 */
	public static Host worker(String name, String rack, HostState state) {
		return new Host(name, new HostAddress("10.0.0.1", 7000), HostKind.WORKER, "listed", "north", rack, "", state,
				WORKER);
	}

	/**
	 * Create a snapshot of the host list.
	 * @param version its version
	 * @param hosts the hosts
	 * @return the list
	 */
	public static HostList hosts(long version, Host... hosts) {
		return new HostList(version, List.of(hosts));
	}

	/**
	 * Create the id of an attempt of the first task of a job.
	 * @param name the job's name
	 * @param attempt number of the attempt
	 * @return the attempt
	 */
	public static AttemptId attempt(String name, long attempt) {
		return new AttemptId(new JobId(name, "1"), 0, attempt);
	}

	/**
	 * Declare a batch run.
	 * @param name its name
	 * @param tasks number of tasks
	 * @param once whether its tasks are run-once tasks
	 * @return the declaration
	 */
	public static RunDeclaration run(String name, int tasks, boolean once) {
		return new RunDeclaration(name, "1", TEAM, tasks, TASK, 60_000, once, false, List.of(), List.of());
	}

	/**
	 * Create an active control state that declares batch runs.
	 * @param version its version
	 * @param runs the runs
	 * @return the active state
	 */
	public static ActiveControlState activeState(long version, RunDeclaration... runs) {
		return activeState(version, List.of(), List.of(runs), Set.of());
	}

	/**
	 * Create an active control state.
	 * @param version its version
	 * @param services declared services
	 * @param runs declared batch runs
	 * @param cancelled the cancelled jobs
	 * @return the active state
	 */
	public static ActiveControlState activeState(long version, List<ServiceDeclaration> services,
			List<RunDeclaration> runs, Set<String> cancelled) {
		Team team = new Team(TEAM, new Resources(1_000_000, 1_000_000_000L, 0), 1);
		CellText text = new CellText("cell", null, List.of(team), services, runs, List.of());
		ControlHead head = new ControlHead(version, "digest-" + version, "edit-" + version);
		return new ActiveControlState(head, new ControlState("{}", version, cancelled, Set.of()), text);
	}

	/**
	 * Declare many batch runs with one task each.
	 * @param count the number of runs
	 * @param once whether its tasks are run-once tasks
	 * @return the declarations
	 */
	public static List<RunDeclaration> runs(int count, boolean once) {
		List<RunDeclaration> runs = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			runs.add(run("run-" + index, 1, once));
		}
		return runs;
	}

}
