package org.monsoonrelay.model.workload;

import java.time.Instant;

/**
 * A declared target with the penalty for missing it. Immutable.
 *
 * @param name the target's name, unique in its workload
 * @param kind what the target measures
 * @param by time limit of a {@link TargetKind#FINISH_BY}, otherwise {@code null}
 * @param withinMillis bound of the other kinds in milliseconds, otherwise 0
 * @param operation the operation of a {@link TargetKind#ANSWER_WITHIN}, otherwise
 * {@code null}
 * @param percentile the percentile of a {@link TargetKind#ANSWER_WITHIN}, otherwise 0
 * @param penaltyCents penalty for a miss, in cents
 */
public record Target(String name, TargetKind kind, Instant by, int withinMillis, String operation, double percentile,
		long penaltyCents) {

}
