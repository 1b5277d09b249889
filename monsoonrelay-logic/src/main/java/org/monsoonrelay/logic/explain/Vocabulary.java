package org.monsoonrelay.logic.explain;

import java.util.Set;
import java.util.stream.Stream;

import org.monsoonrelay.logic.events.Decision;

/**
 * Which events are whose. Stateless and thread-safe.
 */
final class Vocabulary {

	private static final Set<String> GATEWAYS = names(Decision.SubmissionAnswered.class, Decision.WriteRelayed.class,
			Decision.CancellationAnswered.class, Decision.RequestRefused.class, Decision.DependencyLost.class,
			Decision.DependencyBack.class, Decision.RowUnreadable.class);

	private static final Set<String> OWNERSHIP = names(Decision.OwnershipTaken.class, Decision.OwnershipSettled.class,
			Decision.OwnershipLost.class, Decision.WorkersAccounted.class);

	private static final Set<String> WORKERS = names(Decision.WorkerSilent.class, Decision.WorkerLost.class,
			Decision.WorkerAvoided.class);

	private Vocabulary() {
	}

	private static Set<String> names(Class<?>... decisions) {
		return Set.copyOf(Stream.of(decisions).map(Class::getSimpleName).toList());
	}

	/**
	 * Whether a line needs no owner to be written.
	 * @param line the line
	 * @return {@code true} if its process's epoch says nothing of it
	 */
	static boolean isGateways(LogLine line) {
		return GATEWAYS.contains(line.event());
	}

	static boolean isOwnersOfJob(LogLine line) {
		return line.has("job") && !isGateways(line);
	}

	static boolean isOfOwnership(LogLine line) {
		return OWNERSHIP.contains(line.event());
	}

	static boolean isOfWorker(LogLine line) {
		return WORKERS.contains(line.event());
	}

}
