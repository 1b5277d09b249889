package org.monsoonrelay.adapters.logging;

import java.util.Optional;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;
import org.slf4j.Logger;

/**
 * Configures logging in code: JSON lines on standard error, limited by the
 * {@link LogRateLimitFilter}. A file named by {@code logback.configurationFile} takes
 * precedence. An XML configuration would make the start of a process a tenth slower.
 * Confined to the thread that logs first.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class JsonLinesConfigurator extends ContextAwareBase implements Configurator {

	private static final String FILE_PROPERTY = "logback.configurationFile";

	/** System property or environment variable with the level of the own loggers. */
	private static final String LEVEL_NAME = "MONSOONRELAY_LOG_LEVEL";

	private static final String OWN_LOGGERS = "org.monsoonrelay";

	private static final String OMITTED_FIELD = "[ignore]";

	private static final int LINES_PER_WINDOW = 20;

	@Override
	public ExecutionStatus configure(LoggerContext loggers) {
		if (System.getProperty(FILE_PROPERTY) != null) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		LogRateLimitFilter rateLimit = new LogRateLimitFilter();
		rateLimit.setLinesPerWindow(LINES_PER_WINDOW);
		rateLimit.setContext(loggers);
		rateLimit.start();
		loggers.addTurboFilter(rateLimit);
		ch.qos.logback.classic.Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(appender(loggers));
		loggers.getLogger(OWN_LOGGERS).setLevel(ownLevel());
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

	private static ConsoleAppender<ILoggingEvent> appender(LoggerContext loggers) {
		LogstashFieldNames fieldNames = new LogstashFieldNames();
		fieldNames.setVersion(OMITTED_FIELD);
		fieldNames.setLevelValue(OMITTED_FIELD);
		LogstashEncoder encoder = new LogstashEncoder();
		encoder.setFieldNames(fieldNames);
		encoder.setContext(loggers);
		encoder.start();
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setTarget("System.err");
		appender.setEncoder(encoder);
		appender.setContext(loggers);
		appender.start();
		return appender;
	}

	private static Level ownLevel() {
		return Optional.ofNullable(System.getProperty(LEVEL_NAME))
			.or(() -> Optional.ofNullable(System.getenv(LEVEL_NAME)))
			.map((name) -> Level.toLevel(name, Level.INFO))
			.orElse(Level.INFO);
	}

}
