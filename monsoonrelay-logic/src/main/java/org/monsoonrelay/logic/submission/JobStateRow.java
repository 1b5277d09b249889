package org.monsoonrelay.logic.submission;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.monsoonrelay.model.submission.StepRecord;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * The state of a job as the owner writes it for all hosts. Immutable.
 *
 * @param state the state that may be reported to callers
 * @param steps empty; required by earlier releases, which read it as progress
 * @param customer the job's customer, empty if it has none or the writer did not tell
 */
public record JobStateRow(SubmissionState state, Map<String, StepRecord> steps,
		@JsonInclude(JsonInclude.Include.NON_EMPTY) String customer) {

	public JobStateRow {
		Objects.requireNonNull(state, "state");
		steps = Map.copyOf(steps);
		customer = (customer != null) ? customer : "";
	}

}
