package org.monsoonrelay.adapters.logging;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.slf4j.Logger;
import org.slf4j.MDC;

import static org.assertj.core.api.Assertions.assertThat;

class LogLinesTests {

	private long now;

	private List<JsonNode> lines(Action action) {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		PrintStream before = System.err;
		System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
		try {
			LoggerContext context = new LoggerContext();
			context.setMDCAdapter(MDC.getMDCAdapter());
			new JsonLinesConfigurator().configure(context);
			action.run(context.getLogger("org.monsoonrelay.test"));
			context.stop();
		}
		finally {
			System.setErr(before);
		}
		return written.toString(StandardCharsets.UTF_8).lines().map((line) -> Json.read(line, JsonNode.class)).toList();
	}

	@Test
	void lineIsOneJsonObjectWithTheIdsAsFields() {
		List<JsonNode> lines = lines((logger) -> {
			LogFields.of(LogFields.REQUEST, "r-1").and(LogFields.VERSION, 7).run(() -> logger.info("two\nlines"));
			logger.info("later");
		});

		assertThat(lines.get(0).path("message").asText()).isEqualTo("two\nlines");
		assertThat(lines.get(0).path("request").asText()).isEqualTo("r-1");
		assertThat(lines.get(0).path("version").asText()).isEqualTo("7");
		assertThat(lines.get(0).has("@version")).isFalse();
		assertThat(lines.get(1).has("request")).isFalse();
	}

	@Test
	void areWrittenFromLevelInfoForOwnLoggersAndFromLevelWarnForOthers() {
		List<JsonNode> lines = lines((logger) -> {
			logger.debug("too fine");
			logger.info("own");
			Logger other = ((ch.qos.logback.classic.Logger) logger).getLoggerContext().getLogger("io.other");
			other.info("too fine");
			other.warn("foreign");
		});
		assertThat(lines).extracting((line) -> line.path("message").asText()).containsExactly("own", "foreign");
	}

	@Nested
	class Flood {

		@Test
		void ofOneLoggerIsLimitedAndCountedAndOtherLevelsAreWritten() {
			long before = LogRateLimitFilter.droppedCount();
			List<JsonNode> lines = lines((logger) -> {
				for (int count = 0; count < 1000; count++) {
					logger.warn("the platform does not answer, try {}", count);
				}
				logger.error("another level");
			});

			assertThat(lines).hasSize(21);
			assertThat(lines.get(20).path("message").asText()).isEqualTo("another level");
			assertThat(LogRateLimitFilter.droppedCount() - before).isEqualTo(980);
		}

		@Test
		void mayWriteAgainInTheNextWindow() {
			LoggerContext context = new LoggerContext();
			LogRateLimitFilter filter = new LogRateLimitFilter(() -> LogLinesTests.this.now);
			filter.setLinesPerWindow(1);
			context.addTurboFilter(filter);
			Logger logger = context.getLogger("test");
			ListAppender<ILoggingEvent> written = new ListAppender<>();
			written.start();
			context.getLogger("test").addAppender(written);
			logger.warn("first");
			logger.warn("second");
			LogLinesTests.this.now += 10_000_000_000L;
			logger.warn("third");

			assertThat(written.list).extracting((event) -> event.getMessage()).containsExactly("first", "third");
		}

	}

	/**
	 * Writes lines to a logger.
	 */
	private interface Action {

		void run(Logger logger);

	}

}
