package org.monsoonrelay.systemtests;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.standin.BackendFault;
import org.monsoonrelay.standin.Calls;
import org.monsoonrelay.standin.PlatformFault;

import static org.assertj.core.api.Assertions.assertThat;

class KeyedRequestsTests {

	private static final BackendFault DROP_ONE = new BackendFault(0, 0, 1, false, false, false, false);

	private static HttpResponse<String> confirm(TestCell cell, int gateway, String name) {
		String base = cell.processes().callerAddresses().get(gateway).url();
		return Calls.send(HttpRequest.newBuilder(URI.create(base + "/services/salon-desk/confirm"))
			.header("Idempotency-Key", name)
			.header("Driver-Request", name)
			.POST(HttpRequest.BodyPublishers.ofString("body of " + name))
			.build());
	}

	private static int runs(TestCell cell, String name) {
		return cell.processes().requestCounts().runs("confirm", name);
	}

	@Test
	void runOnceWhateverIsLostAndNotWhileTheTableIsDown(@TempDir Path folder) {
		try (TestCell cell = TestCell.start(folder, 5)) {
			HttpResponse<String> first = confirm(cell, 0, "repeated");
			assertThat(first.statusCode()).isEqualTo(200);
			assertThat(confirm(cell, 1, "repeated").body()).isEqualTo(first.body());
			assertThat(runs(cell, "repeated")).isOne();

			cell.processes().faults().allBackendServers(DROP_ONE);
			assertThat(confirm(cell, 0, "dropped").body()).contains("unknown-outcome");
			assertThat(confirm(cell, 1, "dropped").body()).contains("unknown-outcome");
			assertThat(runs(cell, "dropped")).isOne();
			cell.processes().faults().allBackendServers(BackendFault.NONE);

			cell.processes().faults().platform(new PlatformFault(false, 0, 1, false, false));
			confirm(cell, 0, "answer-lost");
			confirm(cell, 1, "answer-lost");
			assertThat(runs(cell, "answer-lost")).isOne();

			cell.processes().faults().platform(new PlatformFault(true, 0, 0, false, false));
			HttpResponse<String> down = confirm(cell, 0, "down");
			assertThat(down.body()).contains("not-run", "platform");
			assertThat(down.headers().firstValue("Retry-After")).isPresent();
			assertThat(runs(cell, "down")).isZero();
			cell.processes().faults().platform(PlatformFault.NONE);
			assertThat(confirm(cell, 1, "down").statusCode()).isEqualTo(200);
		}
	}

}
