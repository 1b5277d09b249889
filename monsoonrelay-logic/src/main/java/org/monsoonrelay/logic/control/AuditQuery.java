package org.monsoonrelay.logic.control;

import java.util.Optional;

import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;

/**
 * Selects entries of the audit trail. Immutable.
 *
 * @param after version, or {@link AuditPage#next()} of an earlier page, after which to
 * start; empty to start at the first entry
 * @param operator the operator of the edits, empty for all operators
 * @param kind the kind of the edits, empty for all kinds
 * @param limit the maximum number of entries to return
 */
public record AuditQuery(String after, Optional<String> operator, Optional<EditKind> kind, int limit) {

	boolean matches(EditRecord entry) {
		return this.operator.map(entry.operator()::equals).orElse(true)
				&& this.kind.map((wanted) -> entry.kind() == wanted).orElse(true);
	}

}
