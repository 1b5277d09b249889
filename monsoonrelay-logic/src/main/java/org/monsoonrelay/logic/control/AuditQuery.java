package org.monsoonrelay.logic.control;

import java.util.Optional;

import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;

/**
 * Which entries of the audit trail to read. Immutable.
 *
 * @param after version, or end of an earlier page, after which to begin; empty for the
 * first
 * @param operator the operator whose edits to read; empty for all
 * @param kind the kind of edits to read; empty for all
 * @param limit the most entries to return
 */
public record AuditQuery(String after, Optional<String> operator, Optional<EditKind> kind, int limit) {

	boolean matches(EditRecord entry) {
		return this.operator.map(entry.operator()::equals).orElse(true)
				&& this.kind.map((wanted) -> entry.kind() == wanted).orElse(true);
	}

}
