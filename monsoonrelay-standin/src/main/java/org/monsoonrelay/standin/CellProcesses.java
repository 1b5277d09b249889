package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;

/**
 * The processes of one test cell: stand-ins, gateways and schedulers, each with its
 * settings in a folder of its own. Closing it ends every process it started. Not
 * thread-safe.
 */
public final class CellProcesses implements AutoCloseable {

	/** Credential of the cell's one operator. */
	public static final String OPERATOR_TOKEN = "operator-token";

	private static final int BACKEND_SLOTS = 8;

	private static final List<String> JVM_OPTIONS = List.of("-Xss512k", "-XX:MaxMetaspaceSize=96m",
			"-XX:MaxDirectMemorySize=32m");

	private static final List<String> COMMAND_OPTIONS = List.of("-XX:TieredStopAtLevel=1");

	private final CellLayout layout;

	private final Programs programs;

	private final Path folder;

	private final ProcessGroup processes = new ProcessGroup();

	private final CellSettings settings;

	public CellProcesses(CellLayout layout, Path projectRoot, Path folder) {
		this.layout = layout;
		this.programs = new Programs(projectRoot);
		this.folder = folder;
		this.settings = new CellSettings(layout);
	}

	/**
	 * The settings that daemons started from now on get.
	 * @return the settings, to be changed by tests
	 */
	public CellSettings settings() {
		return this.settings;
	}

	/**
	 * Kill every process.
	 */
	public void killAll() {
		this.processes.killAll();
	}

	/**
	 * Leave the processes up when this process ends.
	 */
	public void keep() {
		this.processes.keep();
	}

	/**
	 * Start everything and wait until it is ready.
	 * @param serviceMillis service time of a request at a backend server, in milliseconds
	 */
	public void startAll(int serviceMillis) {
		startStandins(serviceMillis);
		for (int index = 0; index < this.layout.schedulers(); index++) {
			startScheduler(index);
		}
		for (int index = 0; index < this.layout.gateways(); index++) {
			startGateway(index);
		}
		Await.until("schedulers are ready", () -> schedulersReady());
	}

	private boolean schedulersReady() {
		for (int index = 0; index < this.layout.schedulers(); index++) {
			if (!Calls.isOk(this.layout.operators(index).url() + "/ready")) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Tell whether all gateways are ready for callers.
	 * @return {@code true} if each says so
	 */
	public boolean gatewaysReady() {
		for (int index = 0; index < this.layout.gateways(); index++) {
			if (!Calls.isOk(this.layout.gatewayAdmin(index).url() + "/ready")) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Start the platform, the workers and the backend servers.
	 * @param serviceMillis service time of a request at a backend server, in milliseconds
	 */
	public void startStandins(int serviceMillis) {
		startPlatform();
		startStandin("workers", new StandinSettings(StandinSettings.Role.WORKERS, this.layout.workerControl(),
				this.layout.platform(), this.layout.workerHosts(), 0, 0, 0));
		startStandin("backends", new StandinSettings(StandinSettings.Role.BACKEND_SERVERS, this.layout.backendControl(),
				this.layout.platform(), this.layout.backendHosts(), BACKEND_SLOTS, serviceMillis, 0));
	}

	private void startPlatform() {
		startStandin("platform", new StandinSettings(StandinSettings.Role.PLATFORM, this.layout.platform(),
				this.layout.platform(), List.of(), 0, 0, 500));
		Await.until("the platform listens", () -> Calls.isOk(this.layout.platform().url() + "/control/counters"));
	}

	private void startStandin(String name, StandinSettings settings) {
		start(name, "standin", Json.write(settings), 256);
	}

	/**
	 * Start a gateway.
	 * @param index its index
	 */
	public void startGateway(int index) {
		start("gateway-" + (index + 1), "gateway", this.settings.gateway(index), 96);
	}

	/**
	 * Start a scheduler.
	 * @param index its index
	 */
	public void startScheduler(int index) {
		start("scheduler-" + (index + 1), "scheduler", this.settings.scheduler(index), 96);
	}

	private void start(String name, String program, String settings, int heapMiB) {
		try {
			Path settingsFile = Files.writeString(this.folder.resolve(name + ".json"), settings);
			List<String> options = new ArrayList<>(JVM_OPTIONS);
			options.add("-Xmx" + heapMiB + "m");
			ProcessBuilder command = this.programs.command(program, options,
					List.of("--settings", settingsFile.toString()));
			this.processes.start(name, command, logOf(name));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Run the operators' command line, which may use any scheduler.
	 * @param arguments the arguments, without those that name the hosts and credential
	 * @return its exit code and output
	 */
	public CommandResult operate(String... arguments) {
		List<String> hosts = new ArrayList<>();
		for (int index = 0; index < this.layout.schedulers(); index++) {
			hosts.add(this.layout.operators(index).toString());
		}
		return operateAt(String.join(",", hosts), List.of(arguments));
	}

	/**
	 * Run the operators' command line through one scheduler.
	 * @param scheduler the scheduler's index
	 * @param arguments the arguments, without those that name the hosts and credential
	 * @return its exit code and output
	 */
	public CommandResult operateThrough(int scheduler, String... arguments) {
		return operateAt(this.layout.operators(scheduler).toString(), List.of(arguments));
	}

	private CommandResult operateAt(String hosts, List<String> arguments) {
		ProcessBuilder builder = this.programs.command("cli", COMMAND_OPTIONS, arguments);
		builder.environment().put("MONSOONRELAY_HOSTS", hosts);
		builder.environment().put("MONSOONRELAY_TOKEN", OPERATOR_TOKEN);
		return CommandResult.of(builder);
	}

	/**
	 * Run a program to its end.
	 * @param program its name, such as {@code gateway}
	 * @param arguments its arguments
	 * @return its exit code and output
	 */
	public CommandResult run(String program, String... arguments) {
		return CommandResult.of(this.programs.command(program, COMMAND_OPTIONS, List.of(arguments)));
	}

	/**
	 * Kill a process, as a host that fails does. It is dead when this returns.
	 * @param name its name
	 */
	public void kill(String name) {
		this.processes.kill(name);
	}

	/**
	 * Pause a process, as a virtual machine that is moved does.
	 * @param name its name
	 */
	public void freeze(String name) {
		this.processes.freeze(name);
	}

	/**
	 * Let a paused process go on.
	 * @param name its name
	 */
	public void thaw(String name) {
		this.processes.thaw(name);
	}

	/**
	 * Send a process SIGTERM, which begins a planned stop.
	 * @param name its name
	 */
	public void terminate(String name) {
		this.processes.terminate(name);
	}

	/**
	 * Wait for a process to end.
	 * @param name its name
	 * @return its exit code
	 */
	public int exitCode(String name) {
		return this.processes.exitCode(name);
	}

	/**
	 * The platform's table.
	 * @return a reader
	 */
	public CellTable table() {
		return new CellTable(this.layout);
	}

	/**
	 * The status of the cell, as operators read it.
	 * @return the status
	 */
	public CellStatus status() {
		CommandResult result = operate("status", "--json");
		if (result.exitCode() != 0) {
			throw new IllegalStateException("no status: " + result.output());
		}
		return Json.read(result.output(), CellStatus.class);
	}

	/**
	 * The switches of the stand-ins' faults.
	 * @return the switches
	 */
	public CellFaults faults() {
		return new CellFaults(this.layout);
	}

	/**
	 * What a daemon has logged, settings faults included.
	 * @param name its name
	 * @return both of its outputs
	 */
	public String log(String name) {
		try {
			return Files.readString(logOf(name));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Path logOf(String name) {
		return this.folder.resolve(name + ".log");
	}

	/**
	 * A process by name.
	 * @param name the name, such as {@code gateway-1}
	 * @return the process
	 */
	public Process process(String name) {
		return this.processes.get(name);
	}

	/**
	 * All processes by name.
	 * @return the processes
	 */
	public Map<String, Process> processes() {
		return this.processes.all();
	}

	/**
	 * Where the gateways listen for callers.
	 * @return the addresses
	 */
	public List<HostAddress> callerAddresses() {
		List<HostAddress> addresses = new ArrayList<>();
		for (int index = 0; index < this.layout.gateways(); index++) {
			addresses.add(this.layout.callers(index));
		}
		return addresses;
	}

	/**
	 * What the workers have counted.
	 * @return the counts
	 */
	public TaskCounts taskCounts() {
		return Json.read(Calls.get(this.layout.workerControl().url() + "/control/counters"), TaskCounts.class);
	}

	/**
	 * What the backend servers have counted.
	 * @return the counts
	 */
	public RequestCounts requestCounts() {
		return Json.read(Calls.get(this.layout.backendControl().url() + "/control/counters"), RequestCounts.class);
	}

	/**
	 * The cell's layout.
	 * @return the layout
	 */
	public CellLayout layout() {
		return this.layout;
	}

	/**
	 * End every process: those that are paused at once, the others by a planned stop.
	 */
	@Override
	public void close() {
		this.processes.close();
	}

}
