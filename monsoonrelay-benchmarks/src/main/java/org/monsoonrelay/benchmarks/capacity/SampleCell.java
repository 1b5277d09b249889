package org.monsoonrelay.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.control.Digest;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;

/**
 * Hosts and texts of any size, with names as long as those of a large cell. Stateless and
 * thread-safe.
 */
final class SampleCell {

	static final int WORKERS_A_RACK = 8;

	static final Resources TASK_SIZE = new Resources(1, 1024, 0);

	private static final Resources CAPACITY = new Resources(64, 131_072, 2);

	private static final int WORKER_PORT = 9100;

	private SampleCell() {
	}

	static String rack(int index) {
		return "rack-" + (1000 + index);
	}

	static String team(int index) {
		return "team-" + (10 + index);
	}

	static Host worker(int index) {
		int rack = index / WORKERS_A_RACK;
		HostAddress address = new HostAddress("10." + (rack / 250) + "." + (rack % 250) + "." + (index % 250),
				WORKER_PORT);
		return new Host("worker-" + (10_000 + index), address, HostKind.WORKER, new UUID(index, index).toString(),
				"domain-" + (rack % DesignSize.FAILURE_DOMAINS), rack(rack), "", HostState.LIVE, CAPACITY);
	}

	static HostList workers(int count) {
		List<Host> hosts = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			hosts.add(worker(index));
		}
		return new HostList(1, hosts);
	}

	/**
	 * A text with batch runs of one team.
	 * @param team the team
	 * @param runs number of batch runs
	 * @param tasks tasks of each
	 * @param once whether each task may run only once
	 * @param runMillis run time of each task, in milliseconds
	 * @return the text
	 */
	static String text(String team, int runs, int tasks, boolean once, int runMillis) {
		List<Map<String, Object>> batchRuns = new ArrayList<>();
		for (int index = 0; index < runs; index++) {
			batchRuns.add(Map.of("name", "settlement-" + (10_000 + index), "run", "2026-12-02", "team", team, "tasks",
					tasks, "size", TASK_SIZE, "runMillis", runMillis, "once", once));
		}
		return Json.write(Map.of("cell", "designed-size", "teams",
				List.of(Map.of("name", team, "quota", new Resources(1_000_000, 1_000_000_000, 0), "weight", 1)),
				"services", List.of(), "batchRuns", batchRuns, "jobs", List.of()));
	}

	/**
	 * A text with one service that a test cell's backend servers serve.
	 * @param service the service
	 * @param replicas number of its tasks
	 * @return the text
	 */
	static String serviceText(String service, int replicas) {
		List<Map<String, Object>> operations = List.of(
				Map.of("name", "lookup", "trafficClass", "desk", "repeatable", true, "deadlineMillis", 5000),
				Map.of("name", "confirm-booking", "trafficClass", "app", "repeatable", false, "deadlineMillis", 5000));
		return Json.write(Map.of("cell", "measured", "teams",
				List.of(Map.of("name", team(0), "quota", new Resources(1_000_000, 1_000_000_000, 0), "weight", 1)),
				"services", List.of(Map.of("name", service, "team", team(0), "replicas", replicas, "size", TASK_SIZE,
						"operations", operations)),
				"batchRuns", List.of(), "jobs", List.of()));
	}

	/**
	 * Put a text in force.
	 * @param text the text
	 * @return what is in force then
	 */
	static ActiveControlState inForce(String text) {
		ControlTracker tracker = new ControlTracker();
		tracker.offer(new ControlHead(1, Digest.of(text), "edit"), ControlState.NONE.withText(text, 1));
		return tracker.activeState();
	}

}
