package org.monsoonrelay.model.workload;

import java.time.Instant;

/**
 * A declared target with the penalty for its miss. Immutable.
 *
 * @param name the target's name, unique in its workload
 * @param kind what it measures
 * @param by the instant of a {@link TargetKind#FINISH_BY}, otherwise {@code null}
 * @param withinMillis the bound of the other kinds in milliseconds, otherwise 0
 * @param operation the operation of a {@link TargetKind#ANSWER_WITHIN}, otherwise
 * {@code null}
 * @param percentile the percentile of a {@link TargetKind#ANSWER_WITHIN}, otherwise 0
 * @param penaltyCents what a miss costs, in cents
 */
public record Target(String name, TargetKind kind, Instant by, int withinMillis, String operation, double percentile,
		long penaltyCents) {

}
