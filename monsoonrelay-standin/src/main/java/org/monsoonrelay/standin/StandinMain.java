package org.monsoonrelay.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.settings.SettingsException;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.job.AttemptId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line of the stand-ins.
 */
@Command(name = "monsoonrelay-standin", mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Stands in for the platform, workers or backend servers.", subcommands = DemoCommand.class)
public final class StandinMain implements Callable<Integer> {

	private static final int TIMER_THREADS = 4;

	private static final int USAGE_LAG_MILLIS = 1000;

	@Option(names = "--settings", description = "JSON file with the settings.")
	private Path settingsFile;

	/**
	 * Run stand-ins until the process is ended.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
		System.exit(Program.run(new StandinMain(), arguments, System.err));
	}

	@Override
	public Integer call() throws IOException, InterruptedException {
		if (this.settingsFile == null) {
			throw new SettingsException("--settings or a command is needed");
		}
		StandinSettings settings = read(this.settingsFile);
		switch (settings.role()) {
			case PLATFORM -> new PlatformStandin(settings.controlAddress(), settings.listLagMillis()).start();
			case WORKERS -> startWorkers(settings);
			case BACKEND_SERVERS -> startBackendServers(settings);
		}
		System.out.println("ready");
		new CountDownLatch(1).await();
		return Program.OK;
	}

	private static StandinSettings read(Path file) {
		try {
			return Json.read(Files.readString(file), StandinSettings.class);
		}
		catch (IOException ex) {
			throw new SettingsException(file + ": cannot be read: " + ex.getClass().getSimpleName());
		}
		catch (IllegalArgumentException ex) {
			throw new SettingsException(file + ": " + ex.getMessage());
		}
	}

	private static void startWorkers(StandinSettings settings) throws IOException, InterruptedException {
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
		TaskLog log = new TaskLog();
		CheckpointStore checkpoints = new CheckpointStore();
		Map<String, WorkerStandin> workers = new TreeMap<>();
		for (Host host : settings.hosts()) {
			WorkerStandin worker = new WorkerStandin(host, timer, log, checkpoints);
			timer.scheduleWithFixedDelay(worker::takeUsage, USAGE_LAG_MILLIS, USAGE_LAG_MILLIS, TimeUnit.MILLISECONDS);
			workers.put(host.name(), worker);
			new StandinServer(host.address(), Executors.newFixedThreadPool(2))
				.route("/command", new WorkerCommandHandler(worker))
				.route("/usage", (exchange) -> StandinServer.sendJson(exchange, 200, worker.usage()))
				.route("/checkpoint", (exchange) -> {
					worker.checkpoint(AttemptId.parse(StandinServer.query(exchange).getOrDefault("attempt", "")));
					StandinServer.send(exchange, 200, "");
				})
				.route("/throttle", (exchange) -> {
					Map<String, String> query = StandinServer.query(exchange);
					worker.throttle(AttemptId.parse(query.getOrDefault("attempt", "")),
							Integer.parseInt(query.getOrDefault("percent", "100")));
					StandinServer.send(exchange, 200, "");
				})
				.start();
			register(settings, host);
		}
		new StandinServer(settings.controlAddress(), Executors.newFixedThreadPool(2))
			.route("/control/counters", (exchange) -> StandinServer.sendJson(exchange, 200, log.counters()))
			.route("/control/fault", (exchange) -> {
				WorkerFault fault = Json.read(StandinServer.body(exchange), WorkerFault.class);
				workers.get(StandinServer.query(exchange).get("name")).setFault(fault);
				StandinServer.send(exchange, 200, "");
			})
			.start();
	}

	private static void startBackendServers(StandinSettings settings) throws IOException, InterruptedException {
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
		RequestLog log = new RequestLog();
		Map<String, BackendStandin> servers = new TreeMap<>();
		for (Host host : settings.hosts()) {
			BackendStandin server = new BackendStandin(host, settings.slots(), settings.serviceMillis(), timer, log);
			servers.put(host.name(), server);
			server.listen();
			register(settings, host);
		}
		new StandinServer(settings.controlAddress(), Executors.newFixedThreadPool(2))
			.route("/control/counters", (exchange) -> StandinServer.sendJson(exchange, 200, log.counters()))
			.route("/control/fault", (exchange) -> {
				BackendFault fault = Json.read(StandinServer.body(exchange), BackendFault.class);
				servers.get(StandinServer.query(exchange).get("name")).setFault(fault);
				StandinServer.send(exchange, 200, "");
			})
			.start();
	}

	private static void register(StandinSettings settings, Host host) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create(settings.platformAddress().url() + "/control/register"))
			.POST(HttpRequest.BodyPublishers.ofString(Json.write(host)))
			.build();
		HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
	}

}
