package org.monsoonrelay.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.node.NodeSettings;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.routing.AttemptResult;
import org.monsoonrelay.logic.routing.BackendClient;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;

import static org.assertj.core.api.Assertions.assertThat;

class GatewayServicesTests {

	private static final AttemptResult ANSWERED = new AttemptResult.Answered(200, List.of(), new byte[0]);

	private static final Operation LOOKUP = new Operation("lookup", TrafficClass.DESK, true, 1000);

	private final Instant now = Instant.parse("2026-12-02T06:00:00Z");

	private final List<HostAddress> sentTo = new ArrayList<>();

	private AttemptResult answer = ANSWERED;

	private final GatewayServices services = services();

	private GatewayServices services() {
		BackendClient client = (server, request, attemptDeadline) -> {
			this.sentTo.add(server);
			return CompletableFuture.completedFuture(this.answer);
		};
		return new GatewayServices(settings(), new ControlTracker(), client, null, () -> this.now);
	}

	private static GatewaySettings settings() {
		NodeSettings node = new NodeSettings("gateway-1", "domain-a", "127.0.0.1:1", "127.0.0.1:2", List.of(),
				"secret-of-tests");
		return new GatewaySettings(node, "127.0.0.1:3", "127.0.0.1:4", 8, 60, 7, 100, 1000, 5000);
	}

	private static HostList list(long version, Host... hosts) {
		return new HostList(version, List.of(hosts));
	}

	private static Host host(int number, String incarnation) {
		return new Host("server-" + number, new HostAddress("10.0.0." + number, 80), HostKind.BACKEND_SERVER,
				incarnation, "domain-a", "rack", "desk", HostState.LIVE, Resources.NONE);
	}

	private RequestOutcome lookup(GatewayServices through) {
		return through
			.route(new ForwardedRequest("id", "desk", LOOKUP, "GET", "", List.of(), new byte[0],
					this.now.plusSeconds(1)), Optional.empty())
			.getNow(null);
	}

	@Nested
	class WhenThePlatformIsUnreachable {

		@Test
		void requestsGoToTheServersOfTheLastHostList() {
			GatewayServicesTests.this.services.updateHosts(list(5, host(1, "1-start-1")));

			assertThat(lookup(GatewayServicesTests.this.services)).isInstanceOf(RequestOutcome.Answered.class);
			assertThat(lookup(GatewayServicesTests.this.services)).isInstanceOf(RequestOutcome.Answered.class);
		}

		@Test
		void aLaterHostListWithALowerVersionIsIgnored() {
			GatewayServicesTests.this.services.updateHosts(list(5, host(1, "1-start-1")));
			lookup(GatewayServicesTests.this.services);

			GatewayServicesTests.this.services.updateHosts(list(4));

			assertThat(lookup(GatewayServicesTests.this.services)).isInstanceOf(RequestOutcome.Answered.class);
		}

	}

	@Nested
	class WhenAServerReportsThatItIsLeaving {

		@Test
		void otherGatewaysSendItNoRequestAfterOneAnnouncement() {
			GatewayServices peer = services();
			GatewayServicesTests.this.services.updateHosts(list(5, host(1, "1-start-1"), host(2, "2-start-1")));
			peer.updateHosts(list(5, host(1, "1-start-1"), host(2, "2-start-1")));
			lookup(peer);
			GatewayServicesTests.this.answer = new AttemptResult.Refused(true);
			lookup(GatewayServicesTests.this.services);
			GatewayServicesTests.this.answer = ANSWERED;
			GatewayServicesTests.this.sentTo.clear();

			peer.markLeaving(GatewayServicesTests.this.services.leavingIncarnations());
			lookup(peer);

			assertThat(GatewayServicesTests.this.services.leavingIncarnations()).containsOnly("1-start-1", "2-start-1");
			assertThat(GatewayServicesTests.this.sentTo).isEmpty();
		}

	}

}
