package org.monsoonrelay.benchmarks.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.workload.ServiceDeclaration;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.CallerLoad;
import org.monsoonrelay.standin.Calls;
import org.monsoonrelay.standin.CellLayout;
import org.monsoonrelay.standin.CellProcesses;
import org.monsoonrelay.standin.CommandResult;
import org.monsoonrelay.standin.PlatformStandin;
import org.monsoonrelay.standin.StandinSettings;

/**
 * One test cell of real processes on loopback addresses with a text in force, and what
 * the system and the platform's stand-in count of it. Not thread-safe.
 */
final class CellMeasurement implements AutoCloseable {

	private static final String SERVICE = "desk";

	private static final int TASKS_A_WORKER = 4;

	private static final int BACKEND_SERVERS = 6;

	private static final int SERVICE_MILLIS = 5;

	private static final int[] REQUESTS = { 500, 1_000, 2_000 };

	private static final int WARM_UP_REQUESTS = 2_000;

	private static final Duration WINDOW = Duration.ofSeconds(5);

	private static final double NANOS = 1e9;

	private final int workers;

	private final int schedulers;

	private final Path folder;

	private final CellProcesses cell;

	private final double applySeconds;

	/**
	 * Start a cell and have a service with four tasks a worker run on it.
	 * @param root the project's root
	 * @param workers number of workers
	 * @param schedulers number of schedulers
	 * @throws IOException if the cell's files cannot be written
	 */
	CellMeasurement(Path root, int workers, int schedulers) throws IOException {
		this.workers = workers;
		this.schedulers = schedulers;
		this.folder = Files.createTempDirectory("monsoonrelay-capacity");
		this.cell = new CellProcesses(CellLayout.of(1, schedulers, workers, BACKEND_SERVERS, SERVICE), root,
				this.folder);
		try {
			this.cell.startAll(SERVICE_MILLIS);
			this.applySeconds = apply();
		}
		catch (IOException | RuntimeException ex) {
			this.cell.close();
			throw ex;
		}
	}

	private double apply() throws IOException {
		int tasks = TASKS_A_WORKER * this.workers;
		Path text = Files.writeString(this.folder.resolve("text.json"), SampleCell.serviceText(SERVICE, tasks));
		double before = ProcessMeter.endedChildrenSeconds();
		CommandResult applied = this.cell.operate("apply", "--wait", text.toString());
		if (applied.exitCode() != 0) {
			throw new IllegalStateException("apply failed: " + applied.output());
		}
		double spent = ProcessMeter.endedChildrenSeconds() - before;
		Await.until("all tasks run", () -> this.cell.taskCounts().running() == tasks);
		return spent;
	}

	/**
	 * Measure a steady state.
	 * @param settle how long to wait before; code is compiled in this time
	 * @return what was measured
	 * @throws IOException if the cell's files cannot be read
	 */
	CellSample steady(Duration settle) throws IOException {
		pause(settle);
		PlatformStandin.Counters countsBefore = counters();
		List<ProcessMeter.Usage> before = schedulerUsage();
		ProcessMeter.Usage gatewayBefore = usage("gateway-1");
		long begin = System.nanoTime();
		pause(WINDOW);
		double seconds = (System.nanoTime() - begin) / NANOS;
		PlatformStandin.Counters counts = counters();
		List<ProcessMeter.Usage> after = schedulerUsage();
		List<ProcessMeter.Usage> spent = new ArrayList<>();
		for (int index = 0; index < this.schedulers; index++) {
			spent.add(after.get(index).since(before.get(index)).perSecond(seconds));
		}
		return new CellSample(this.workers, this.schedulers, spent,
				usage("gateway-1").since(gatewayBefore).perSecond(seconds),
				(counts.reads() - countsBefore.reads()) / seconds,
				(counts.commits() - countsBefore.commits()) / seconds, this.applySeconds);
	}

	/**
	 * Measure the gateway's processor time by requests forwarded, in seconds.
	 * @return the slope
	 */
	Slope gatewayByRequests() {
		Await.until("the gateway is ready", this.cell::gatewaysReady);
		CallerLoad load = new CallerLoad(this.cell.callerAddresses(), declaration());
		load.send(WARM_UP_REQUESTS);
		return Meter.over(REQUESTS, (count) -> {
			ProcessMeter.Usage before = usage("gateway-1");
			List<CallerAnswer> answers = load.send(count);
			if (answers.stream().anyMatch((answer) -> answer.kind() != CallerAnswer.Kind.ANSWERED)) {
				throw new IllegalStateException("a request was not answered");
			}
			return usage("gateway-1").since(before).processorSeconds();
		});
	}

	private static ServiceDeclaration declaration() {
		return SampleCell.inForce(SampleCell.serviceText(SERVICE, 1)).text().service(SERVICE).orElseThrow();
	}

	private PlatformStandin.Counters counters() throws IOException {
		StandinSettings platform = Json.read(Files.readString(this.folder.resolve("platform.json")),
				StandinSettings.class);
		return Json.read(Calls.get(platform.controlAddress().url() + "/control/counters"),
				PlatformStandin.Counters.class);
	}

	private List<ProcessMeter.Usage> schedulerUsage() {
		List<ProcessMeter.Usage> usage = new ArrayList<>();
		for (int index = 1; index <= this.schedulers; index++) {
			usage.add(usage("scheduler-" + index));
		}
		return usage;
	}

	private ProcessMeter.Usage usage(String name) {
		return ProcessMeter.read(this.cell.process(name).pid());
	}

	private static void pause(Duration length) {
		long end = System.nanoTime() + length.toNanos();
		long left = end - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = end - System.nanoTime();
		}
	}

	@Override
	public void close() {
		this.cell.close();
	}

}
