package org.monsoonrelay.host;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.platform.HostSettings;
import org.monsoonrelay.platform.ReadyRoute;

import static org.assertj.core.api.Assertions.assertThat;

class HostTests {

	private static final int FIRST_PORT = 17_640;

	private final HostSettings settings = HostSettings.rehearsal(FIRST_PORT);

	private final HttpClient client = HttpClient.newHttpClient();

	private HttpResponse<String> get(String url) throws Exception {
		return this.client.send(HttpRequest.newBuilder(URI.create(url)).build(), HttpResponse.BodyHandlers.ofString());
	}

	@Test
	void bringsNoNativeCodeBesideTheJdks() {
		assertThat(getClass().getClassLoader().getResource("META-INF/native")).isNull();
	}

	@Test
	void whoseTableCannotBeReachedIsNotReadyRefusesAndStopsWhenAsked() throws Exception {
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
