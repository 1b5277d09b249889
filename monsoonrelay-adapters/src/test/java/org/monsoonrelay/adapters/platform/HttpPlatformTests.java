package org.monsoonrelay.adapters.platform;

import java.io.IOException;
import java.time.Duration;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.HostList;

import static org.assertj.core.api.Assertions.assertThat;

class HttpPlatformTests {

	private static final String LIST = "{\"version\":7,\"hosts\":[]}";

	private static final String UNCHANGED = "HTTP/1.1 204 No Content\r\n\r\n";

	@Nested
	class TheHostList {

		@Test
		void isNotSentAgainWhileItsVersionIsKnown() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					boolean known = connection.read().contains("known=7");
					connection.write(known ? UNCHANGED : RawServer.answer(LIST));
				}
			})) {
				HttpPlatform platform = new HttpPlatform(server.address(), Duration.ofSeconds(10));

				assertThat(platform.read(0).join()).map(HostList::version).contains(7L);
				assertThat(platform.read(7).join()).isEmpty();
			}
		}

	}

}
