package org.monsoonrelay.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.monsoonrelay.adapters.settings.SettingsException;
import org.monsoonrelay.adapters.settings.SettingsPrinter;
import org.monsoonrelay.adapters.settings.SettingsReader;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class GatewaySettingsTests {

	private static final String VALID_SETTINGS = """
			{"node": {"name": "g1", "failureDomain": "north", "peerAddress": "127.0.0.1:7001",
			"platform": "127.0.0.1:7100", "peers": [], "secret": "cell-secret"},
			"callerAddress": "127.0.0.1:8001", "adminAddress": "127.0.0.1:8002", "slotsPerBackendServer": 8,
			"connectionsPerBackendServer": 60, "gateways": 7,
			"maximumWaiting": 100, "attemptLimitMillis": 1000, "drainMillis": 5000}""";

	@TempDir
	private Path folder;

	private GatewaySettings read(String document) throws IOException {
		Path file = Files.writeString(this.folder.resolve("gateway.json"), document);
		return new SettingsReader<>(GatewaySettings.class, "gateway-settings.schema.json").read(file);
	}

	@Test
	void validSettingsAreReadAndPrintedWithoutSecrets() throws IOException {
		assertThat(SettingsPrinter.print(read(VALID_SETTINGS))).contains("127.0.0.1:8001")
			.doesNotContain("cell-secret");
	}

	@Test
	void allFaultsAreReportedTogetherWithTheirPaths() {
		String invalidSettings = VALID_SETTINGS.replace("127.0.0.1:8002", "127.0.0.1:8001")
			.replace("\"127.0.0.1:7100\"", "\"platform.example:80\"")
			.replace("\"slotsPerBackendServer\": 8", "\"slotsPerBackendServer\": 0, \"colour\": \"red\"");

		assertThatThrownBy(() -> read(invalidSettings)).isInstanceOf(SettingsException.class)
			.message()
			.contains("/colour: unknown key", "/adminAddress: the same address as /callerAddress",
					"/slotsPerBackendServer: must have a minimum value of 1",
					"/node/platform: must be an IP address with a port");
	}

	@ParameterizedTest
	@CsvSource({ "8, 60, 7, 7", "8, 60, 6, 8", "8, 16, 7, 2", "8, 60, 1, 8", "64, 61, 7, 7" })
	void allGatewaysAndOneReplacementStayWithinTheConnectionLimit(int slots, int connections, int gateways, int share)
			throws IOException {
		GatewaySettings settings = read(VALID_SETTINGS.replace("Server\": 8,", "Server\": " + slots + ",")
			.replace("60", Integer.toString(connections))
			.replace("7,\n", gateways + ",\n"));

		assertThat(settings.slotShare()).isEqualTo(share);
		assertThat(share * (gateways + 1)).isLessThanOrEqualTo(connections);
	}

	@Test
	void aConnectionLimitThatLeavesAGatewayWithoutAConnectionIsRejected() {
		assertThatThrownBy(() -> read(VALID_SETTINGS.replace("60", "7"))).isInstanceOf(SettingsException.class)
			.message()
			.contains(
					"/connectionsPerBackendServer: must allow one connection for each of the 7 gateways and one more");
	}

}
