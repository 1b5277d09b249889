package review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One machine of the system: starts the program of the deploy file with the settings that
 * the template of the deploy file makes, and starts it again when it ends. Thread-safe.
 */
final class Host {

	static final int CALLER_PORT = 8161;

	private static final int READINESS_PORT = 8167;

	private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

	private static final long RESTART_MILLIS = 200;

	private static final HttpClient CLIENT = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();

	private final String name;

	private final String ip;

	private final Path settings;

	private final Path log;

	private final Record record;

	private Process process;

	private boolean stopped;

	// Whether the next end of the process was caused by a signal of the case.
	private boolean signalled;

	private long downUntilNanos;

	private int ownEnds;

	Host(String name, String ip, String zone, String platform, Path folder, Record record) throws IOException {
		this.name = name;
		this.ip = ip;
		this.record = record;
		this.settings = folder.resolve(name + ".json");
		this.log = folder.resolve(name + ".log");
		JsonNode fields = Web.JSON.readTree(fields(name, ip, zone, platform));
		Files.writeString(this.settings, render(Files.readString(Path.of("deploy/settings.json")), fields));
	}

	// The fields of a machine of a small deployment, as the page DEPLOY shows them.
	private static String fields(String name, String ip, String zone, String platform) {
		return """
				{"node_name": "%1$s", "zone": "%3$s", "ip": "%2$s",
				 "listen": {"frontend_address": "%2$s:%5$d", "readiness_address": "%2$s:%6$d"},
				 "internal_ports": [7720, 7735], "platform": {"address": "%4$s", "row_bytes": 65536},
				 "advice": "%4$s", "control_mode": "call",
				 "bounds": {"grace_s": 6, "harm_ms": 4000, "pacing_interval_ms": 100},
				 "limits": {"cpu_quota": 0.75, "cores": 1, "link_mbps": 1000.0}}""".formatted(name, ip, zone, platform,
				CALLER_PORT, READINESS_PORT);
	}

	private static String render(String template, JsonNode fields) {
		Matcher matcher = PLACEHOLDER.matcher(template);
		StringBuilder text = new StringBuilder();
		while (matcher.find()) {
			JsonNode value = fields;
			for (String part : matcher.group(1).split("\\.")) {
				value = value.path(part);
			}
			boolean isJson = matcher.group(2) != null;
			String rendered = value.isMissingNode() ? "" : isJson ? value.toString() : value.asText();
			matcher.appendReplacement(text, Matcher.quoteReplacement(rendered));
		}
		return matcher.appendTail(text).toString();
	}

	String name() {
		return this.name;
	}

	String callers() {
		return this.ip + ":" + CALLER_PORT;
	}

	synchronized void start() throws IOException {
		Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no command");
		}
		ProcessBuilder command = new ProcessBuilder(List.of(run.group(1).split(" ")));
		Map<String, String> environment = command.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("MONSOONRELAY_NODE_FILE", this.settings.toString());
		command.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		this.signalled = false;
		this.process = command.start();
		this.record.write(this.name, "is started, pid " + this.process.pid());
		this.process.onExit().thenAccept(this::ended);
	}

	private void ended(Process life) {
		long delayMillis;
		synchronized (this) {
			if (this.stopped) {
				return;
			}
			if (!this.signalled) {
				this.ownEnds++;
				this.record.tell(this.name, "ended by itself with code " + life.exitValue() + ", for the "
						+ this.ownEnds + ". time");
			}
			delayMillis = Math.max(RESTART_MILLIS, (this.downUntilNanos - System.nanoTime()) / 1_000_000);
		}
		Cell.TIMER.schedule(() -> {
			synchronized (this) {
				if (!this.stopped) {
					start();
				}
			}
			return null;
		}, delayMillis, TimeUnit.MILLISECONDS);
	}

	/** Kills the process; it is started again after a while. */
	synchronized void kill(long downMillis) {
		this.signalled = true;
		this.downUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(downMillis);
		this.record.tell(this.name, "is killed, down for " + downMillis + " ms");
		this.process.destroyForcibly();
	}

	/** How often the process has ended without a signal of the case. */
	synchronized int ownEnds() {
		return this.ownEnds;
	}

	boolean isReady() {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.ip + ":" + READINESS_PORT + "/api/readyz"))
				.timeout(Duration.ofMillis(800))
				.build();
			return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/** Lines of the log that contain a text. */
	List<String> logLines(String text) {
		List<String> lines = new ArrayList<>();
		try {
			if (Files.exists(this.log)) {
				Files.readAllLines(this.log).stream().filter((line) -> line.contains(text)).forEach(lines::add);
			}
		}
		catch (IOException ex) {
			lines.add(ex.toString());
		}
		return lines;
	}

	void close() {
		Process last;
		synchronized (this) {
			this.stopped = true;
			last = this.process;
		}
		if (last != null) {
			last.destroyForcibly().onExit().join();
		}
	}

}
