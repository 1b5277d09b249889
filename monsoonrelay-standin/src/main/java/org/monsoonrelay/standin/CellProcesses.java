package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

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

	private static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xss512k", "-XX:MaxMetaspaceSize=96m",
			"-XX:MaxDirectMemorySize=32m");

	private final CellLayout layout;

	private final Path projectRoot;

	private final Path folder;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	public CellProcesses(CellLayout layout, Path projectRoot, Path folder) {
		this.layout = layout;
		this.projectRoot = projectRoot;
		this.folder = folder;
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
		start("gateway-" + (index + 1), "gateway", CellSettings.gateway(this.layout, index), 96);
	}

	/**
	 * Start a scheduler.
	 * @param index its index
	 */
	public void startScheduler(int index) {
		start("scheduler-" + (index + 1), "scheduler", CellSettings.scheduler(this.layout, index), 96);
	}

	private void start(String name, String program, String settings, int heapMiB) {
		try {
			Path settingsFile = Files.writeString(this.folder.resolve(name + ".json"), settings);
			List<String> command = new ArrayList<>();
			command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
			command.addAll(JVM_OPTIONS);
			command.add("-Xmx" + heapMiB + "m");
			command.addAll(List.of("-jar", jar(program).toString(), "--settings", settingsFile.toString()));
			Process process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(name + ".log").toFile()))
				.start();
			this.processes.put(name, process);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Path jar(String program) {
		Path jar = this.projectRoot.resolve("monsoonrelay-" + program)
			.resolve("target")
			.resolve("monsoonrelay-" + program + "-0.1.0-SNAPSHOT-all.jar");
		if (!Files.exists(jar)) {
			throw new IllegalStateException("not built yet: " + jar);
		}
		return jar;
	}

	/**
	 * Run the operators' command line.
	 * @param arguments the arguments, without those that name the hosts and credential
	 * @return its exit code and output
	 */
	public CommandResult operate(String... arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
						"-XX:TieredStopAtLevel=1", "-jar", jar("cli").toString()));
		command.addAll(List.of(arguments));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
		List<String> hosts = new ArrayList<>();
		for (int index = 0; index < this.layout.schedulers(); index++) {
			hosts.add(this.layout.operators(index).toString());
		}
		builder.environment().put("MONSOONRELAY_HOSTS", String.join(",", hosts));
		builder.environment().put("MONSOONRELAY_TOKEN", OPERATOR_TOKEN);
		try {
			Process process = builder.start();
			String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			return new CommandResult(process.waitFor(), output);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
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
		return Map.copyOf(this.processes);
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

	@Override
	public void close() {
		this.processes.values().forEach(Process::destroy);
		for (Process process : this.processes.values()) {
			try {
				if (!process.waitFor(10, TimeUnit.SECONDS)) {
					process.destroyForcibly();
				}
			}
			catch (InterruptedException ex) {
				process.destroyForcibly();
				Thread.currentThread().interrupt();
			}
		}
	}

	/**
	 * How a command ended.
	 *
	 * @param exitCode the exit code
	 * @param output both of its outputs
	 */
	public record CommandResult(int exitCode, String output) {

	}

}
