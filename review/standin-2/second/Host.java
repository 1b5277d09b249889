package second;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * One machine of the system: the program of the deploy file as a process of its own, with
 * the settings of the deploy file's template.
 */
final class Host {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)(\\|json)?\\}\\}");

	private final String name;

	private final String callers;

	private final String readiness;

	private final Path folder;

	private Process process;

	Host(String name, String zone, String ip, String store, Path folder) {
		this.name = name;
		this.folder = folder;
		this.callers = ip + ":" + freePort(ip);
		this.readiness = ip + ":" + freePort(ip);
		int peers = freePort(ip);
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("node_name", name);
		fields.put("zone", zone);
		fields.put("ip", ip);
		fields.put("listen", Map.of("frontend_address", this.callers, "readiness_address", this.readiness));
		fields.put("internal_ports", List.of(peers, peers + 8));
		fields.put("platform", Map.of("address", store, "row_bytes", 65536));
		fields.put("advice", store);
		fields.put("control_mode", "call");
		fields.put("bounds",
				Map.of("grace_s", 6, "revoke_ms", 5000, "harm_ms", 4000, "pacing_interval_ms", 100));
		fields.put("limits", Map.of("cpu_quota", 0.75, "cores", 1, "link_mbps", 1000.0));
		try {
			Files.writeString(folder.resolve(name + ".json"),
					fill(Files.readString(Path.of("deploy/settings.json")), JSON.valueToTree(fields)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String fill(String template, JsonNode fields) {
		Matcher matcher = PLACEHOLDER.matcher(template);
		return matcher.replaceAll((found) -> {
			JsonNode value = fields;
			for (String part : found.group(1).split("\\.")) {
				value = value.path(part);
			}
			return Matcher.quoteReplacement((found.group(2) != null) ? value.toString() : value.asText());
		});
	}

	private static int freePort(String ip) {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(ip, 0));
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Starts the program with the words of the deploy file. */
	void start() {
		try {
			String run = Files.readAllLines(Path.of("deploy/system.toml"))
				.stream()
				.filter((line) -> line.startsWith("run = "))
				.findFirst()
				.orElseThrow()
				.replaceAll("^run = \"|\"$", "");
			ProcessBuilder builder = new ProcessBuilder(run.split(" "));
			Map<String, String> environment = builder.environment();
			environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			environment.put("MONSOONRELAY_NODE_FILE", this.folder.resolve(this.name + ".json").toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(this.name + ".log").toFile()));
			this.process = builder.start();
			// Ends the process also if this one is stopped from outside.
			Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) new URL("http://" + this.readiness + "/api/readyz")
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	String name() {
		return this.name;
	}

	String callers() {
		return this.callers;
	}

	boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/** Sends a signal to the process. */
	void signal(String signal) {
		try {
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	void awaitEnd(long millis) throws InterruptedException {
		this.process.waitFor(millis, TimeUnit.MILLISECONDS);
	}

	void kill() {
		if (isAlive()) {
			this.process.destroyForcibly();
		}
	}

}
