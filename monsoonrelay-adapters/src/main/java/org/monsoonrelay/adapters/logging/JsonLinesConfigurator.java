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
 * Configures logging in code: JSON lines on standard error, bounded by the
 * {@link LogRateLimitFilter}. A file named by {@code logback.configurationFile} goes
 * before it. Reading an XML file for this would add a tenth to a start. Confined to the
 * thread that first logs.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class JsonLinesConfigurator extends ContextAwareBase implements Configurator {

	private static final String FILE_PROPERTY = "logback.configurationFile";

	/** Name of the property or the environment variable with the level of our loggers. */
	private static final String LEVEL_NAME = "MONSOONRELAY_LOG_LEVEL";

	private static final String OWN_LOGGERS = "org.monsoonrelay";

	private static final String LEFT_OUT = "[ignore]";

	private static final int LINES_PER_WINDOW = 20;

	@Override
	public ExecutionStatus configure(LoggerContext loggers) {
		if (System.getProperty(FILE_PROPERTY) != null) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		LogRateLimitFilter flood = new LogRateLimitFilter();
		flood.setLinesPerWindow(LINES_PER_WINDOW);
		flood.setContext(loggers);
		flood.start();
		loggers.addTurboFilter(flood);
		ch.qos.logback.classic.Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(appender(loggers));
		loggers.getLogger(OWN_LOGGERS).setLevel(ownLevel());
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

	private static ConsoleAppender<ILoggingEvent> appender(LoggerContext loggers) {
		LogstashFieldNames names = new LogstashFieldNames();
		names.setVersion(LEFT_OUT);
		names.setLevelValue(LEFT_OUT);
		LogstashEncoder encoder = new LogstashEncoder();
		encoder.setFieldNames(names);
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
