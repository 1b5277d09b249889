package org.monsoonrelay.scheduler;

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

class SchedulerSettingsTests {

	private static final String VALID_SETTINGS = """
			{"node": {"name": "s1", "failureDomain": "north", "peerAddress": "127.0.0.1:7001",
			"platform": "127.0.0.1:7100", "peers": ["127.0.0.1:7001", "127.0.0.1:7002"], "secret": "cell-secret"},
			"operatorAddress": "127.0.0.1:7201", "operators": [{"name": "ana", "token": "token-of-ana"},
			{"name": "biju", "token": "token-of-biju"}],
			"sessionLapseMillis": 4000, "workerLeaseMillis": 4000, "drainMillis": 5000}""";

	@TempDir
	private Path folder;

	private SchedulerSettings read(String document) throws IOException {
		Path file = Files.writeString(this.folder.resolve("scheduler.json"), document);
		return new SettingsReader<>(SchedulerSettings.class, "scheduler-settings.schema.json").read(file);
	}

	@Test
	void validSettingsAreReadAndPrintedWithoutSecrets() throws IOException {
		String printed = SettingsPrinter.print(read(VALID_SETTINGS));

		assertThat(printed).contains("\"name\" : \"ana\"", "\"secret\" : \"***\"")
			.doesNotContain("cell-secret", "token-of-ana", "token-of-biju");
	}

	@Test
	void allFaultsAreReportedTogetherWithTheirPaths() {
		String invalidSettings = VALID_SETTINGS.replace("127.0.0.1:7201", "127.0.0.1:7001")
			.replace("127.0.0.1:7002", "127.0.0.1:99999")
			.replace("\"drainMillis\": 5000", "\"drainSeconds\": 5")
			.replace("token-of-biju", "token-of-ana");

		assertThatThrownBy(() -> read(invalidSettings)).isInstanceOf(SettingsException.class)
			.message()
			.contains("/: 'drainMillis' is missing", "/drainSeconds: unknown key",
					"/node/peers/1: not an address: 127.0.0.1:99999",
					"/operatorAddress: the same address as /node/peerAddress",
					"/operators/1/token: the same as /operators/0/token")
			.doesNotContain("\n", "token-of");
	}

}
