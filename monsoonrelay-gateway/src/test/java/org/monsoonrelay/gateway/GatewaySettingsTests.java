package org.monsoonrelay.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.adapters.settings.SettingsException;
import org.monsoonrelay.adapters.settings.SettingsPrinter;
import org.monsoonrelay.adapters.settings.SettingsReader;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class GatewaySettingsTests {

	private static final String GOOD = """
			{"node": {"name": "g1", "failureDomain": "north", "peerAddress": "127.0.0.1:7001",
			"platform": "127.0.0.1:7100", "peers": [], "secret": "cell-secret"},
			"callerAddress": "127.0.0.1:8001", "adminAddress": "127.0.0.1:8002", "slotsPerBackendServer": 8,
			"maximumWaiting": 100, "attemptLimitMillis": 1000, "drainMillis": 5000}""";

	@TempDir
	private Path folder;

	private GatewaySettings read(String document) throws IOException {
		Path file = Files.writeString(this.folder.resolve("gateway.json"), document);
		return new SettingsReader<>(GatewaySettings.class, "gateway-settings.schema.json").read(file);
	}

	@Test
	void rightSettingsAreReadAndPrintedWithoutSecrets() throws IOException {
		assertThat(SettingsPrinter.print(read(GOOD))).contains("127.0.0.1:8001").doesNotContain("cell-secret");
	}

	@Test
	void everyFaultIsNamedAtOnceWithItsPlace() {
		String bad = GOOD.replace("127.0.0.1:8002", "127.0.0.1:8001")
			.replace("\"127.0.0.1:7100\"", "\"platform.example:80\"")
			.replace("\"slotsPerBackendServer\": 8", "\"slotsPerBackendServer\": 0, \"colour\": \"red\"");

		assertThatThrownBy(() -> read(bad)).isInstanceOf(SettingsException.class)
			.message()
			.contains("/colour: unknown key", "/adminAddress: the same address as /callerAddress",
					"/slotsPerBackendServer: must have a minimum value of 1",
					"/node/platform: must be an IP address with a port");
	}

}
