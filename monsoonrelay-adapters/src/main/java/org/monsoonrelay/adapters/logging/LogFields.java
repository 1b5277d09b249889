package org.monsoonrelay.adapters.logging;

import java.util.LinkedHashMap;
import java.util.Map;

import org.slf4j.MDC;

/**
 * Fields of the log lines that an action writes on its thread. Immutable; safe for use by
 * several threads at once.
 */
public final class LogFields {

	/** Identity of a caller's request. */
	public static final String REQUEST = "request";

	/** Identity of a task. */
	public static final String TASK = "task";

	/** Version of what operators have in force. */
	public static final String VERSION = "version";

	/** Name of an operator. */
	public static final String OPERATOR = "operator";

	private final Map<String, String> fields;

	private LogFields(Map<String, String> fields) {
		this.fields = fields;
	}

	/**
	 * One field.
	 * @param name the field's name
	 * @param value its value
	 * @return the fields
	 */
	public static LogFields of(String name, Object value) {
		return new LogFields(Map.of(name, String.valueOf(value)));
	}

	/**
	 * These fields and one more.
	 * @param name the field's name
	 * @param value its value
	 * @return the fields
	 */
	public LogFields and(String name, Object value) {
		Map<String, String> more = new LinkedHashMap<>(this.fields);
		more.put(name, String.valueOf(value));
		return new LogFields(more);
	}

	/**
	 * Run an action with these fields.
	 * @param action writes the log lines
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
