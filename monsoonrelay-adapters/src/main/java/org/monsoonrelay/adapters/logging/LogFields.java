package org.monsoonrelay.adapters.logging;

import java.util.LinkedHashMap;
import java.util.Map;

import org.slf4j.MDC;

/**
 * Fields that are added to the log lines of an action on its thread. Immutable and
 * thread-safe.
 */
public final class LogFields {

	/** Id of a caller's request. */
	public static final String REQUEST = "request";

	/** Id of a task. */
	public static final String TASK = "task";

	/** Version of the active control state. */
	public static final String VERSION = "version";

	/** Name of an operator. */
	public static final String OPERATOR = "operator";

	private final Map<String, String> fields;

	private LogFields(Map<String, String> fields) {
		this.fields = fields;
	}

	/**
	 * Creates fields with one entry.
	 * @param name the name of the field
	 * @param value the value of the field
	 * @return the fields
	 */
	public static LogFields of(String name, Object value) {
		return new LogFields(Map.of(name, String.valueOf(value)));
	}

	/**
	 * Returns a copy of these fields with one more entry.
	 * @param name the name of the field
	 * @param value the value of the field
	 * @return the fields
	 */
	public LogFields and(String name, Object value) {
		Map<String, String> extended = new LinkedHashMap<>(this.fields);
		extended.put(name, String.valueOf(value));
		return new LogFields(extended);
	}

	/**
	 * Runs an action whose log lines carry these fields.
	 * @param action the action
	 */
	public void run(Runnable action) {
		this.fields.forEach(MDC::put);
		try {
			action.run();
		}
		finally {
			this.fields.keySet().forEach(MDC::remove);
		}
	}

}
