package org.monsoonrelay.logic.explain;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * A decision as written to the log by a process. Immutable.
 *
 * @param source the process that wrote the line
 * @param number position of the line among all lines that were read; the lines of one
 * process are numbered in the order in which it wrote them
 * @param event name of the event
 * @param fields fields of the event
 */
public record LogLine(String source, long number, String event, JsonNode fields) {

	/** Number of parts in a task key. */
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
	 * The step that the line refers to.
	 * @return occurrence and step, empty if the line names no step
	 */
	String step() {
		String task = text("task");
		if (task.split("\\.").length != TASK_PARTS) {
			return text("step");
		}
		return TaskKey.parse(task).stepKey().localName();
	}

}
