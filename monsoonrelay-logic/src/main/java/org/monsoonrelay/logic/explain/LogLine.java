package org.monsoonrelay.logic.explain;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * A decision as a process has written it. Immutable.
 *
 * @param source the process that wrote it
 * @param number its place among all lines that were read; of one process, the order in
 * which it wrote
 * @param event the name of the event
 * @param fields its fields
 */
public record LogLine(String source, long number, String event, JsonNode fields) {

	/** Parts of the name of a task. */
	private static final int TASK_PARTS = 4;

	String text(String field) {
		return this.fields.path(field).asText("");
	}

	long value(String field) {
		return this.fields.path(field).asLong();
	}

	boolean isEvent(Class<?> decision) {
		return this.event.equals(decision.getSimpleName());
	}

	boolean hasField(String field) {
		return this.fields.has(field);
	}

	/**
	 * The step that the line is about.
	 * @return occurrence and step, empty if it names none
	 */
	String step() {
		String task = text("task");
		if (task.split("\\.").length != TASK_PARTS) {
			return text("step");
		}
		return TaskKey.parse(task).stepKey().localName();
	}

}
