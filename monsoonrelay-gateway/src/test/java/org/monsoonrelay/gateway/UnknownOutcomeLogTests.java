package org.monsoonrelay.gateway;

import java.time.Instant;
import java.util.List;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

class UnknownOutcomeLogTests {

	private Instant now = Instant.parse("2026-12-02T06:00:00Z");

	@Test
	void writesTenLinesPerSecondAndCountsSuppressedLines() {
		ListAppender<ILoggingEvent> lines = new ListAppender<>();
		lines.start();
		((Logger) LoggerFactory.getLogger(UnknownOutcomeLog.class)).addAppender(lines);
		UnknownOutcomeLog log = new UnknownOutcomeLog(() -> this.now);
		ForwardedRequest request = new ForwardedRequest("request-1", "desk",
				new Operation("confirm", TrafficClass.APP, false, 1000), "POST", "", List.of(), new byte[0], this.now);

		for (int line = 0; line < 25; line++) {
			log.log(request, "reset");
		}
		this.now = this.now.plusSeconds(1);
		log.log(request, "reset");

		assertThat(lines.list).hasSize(11);
		assertThat(lines.list.get(10).getFormattedMessage()).contains("request request-1", "service desk",
				"operation confirm", "15 similar lines suppressed");
	}

}
