package org.monsoonrelay.host;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.platform.HostSettings;
import org.monsoonrelay.platform.ReadyRoute;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

class HostTests {

	private static final int FIRST_PORT = 17_640;

	private static final int PORTS_PER_RUN = 10;

	private static final int MAXIMUM_RUNS = 200;

	private final HostSettings settings = HostSettings.forTraining(firstPort());

	private final HttpClient client = HttpClient.newHttpClient();

	// Concurrent runs of this test listen at different ports.
	private static int firstPort() {
		long run = ProcessHandle.current().pid() % MAXIMUM_RUNS;
		return FIRST_PORT + PORTS_PER_RUN * (int) run;
	}

	private HttpResponse<String> get(String url) throws Exception {
		return this.client.send(HttpRequest.newBuilder(URI.create(url)).build(), HttpResponse.BodyHandlers.ofString());
	}

	@Test
	void containsNoNativeCodeBesidesTheJdk() {
		assertThat(getClass().getClassLoader().getResource("META-INF/native")).isNull();
	}

	@Test
	void trainingRunCompletesAJobOnAWorker() {
		PrintStream console = System.out;
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
		int code;
		try {
			code = new CommandLine(new HostMain()).execute("--training-run", String.valueOf(firstPort()));
		}
		finally {
			System.setOut(console);
		}
		assertThat(code).isZero();
		assertThat(output.toString(StandardCharsets.UTF_8)).contains("\"event\":\"OwnershipTaken\"", "\"release\":\"",
				"\"event\":\"TaskPlaced\"", "\"event\":\"JobEnded\"");
	}

	@Test
	void hostWithUnreachableTableIsNotReadyRefusesJobsAndStopsOnRequest() throws Exception {
		Host host = new Host(this.settings);
		host.start();
		try {
			assertThat(get(this.settings.readinessAddress().orElseThrow().url() + ReadyRoute.PATH).statusCode())
				.isEqualTo(503);
			HttpResponse<String> refused = get(this.settings.callerAddress().orElseThrow().url() + "/queue/");
			assertThat(refused.statusCode()).isEqualTo(503);
			assertThat(refused.headers().firstValue("Retry-After")).isPresent();
		}
		finally {
			host.stop();
		}
	}

}
