package org.monsoonrelay.logic.explain;

import java.util.Set;
import java.util.stream.Stream;

import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.events.ProcessDecision;

/**
 * Categories of events: those that any process may write, and those about ownership or
 * workers. Stateless and thread-safe.
 */
final class EventCategories {

	private static final Set<String> INDEPENDENT_OF_OWNER = names(JobDecision.SubmissionAnswered.class,
			JobDecision.WriteRelayed.class, JobDecision.CancellationAnswered.class, JobDecision.RequestRefused.class,
			ProcessDecision.DependencyLost.class, ProcessDecision.DependencyBack.class,
			ProcessDecision.RowUnreadable.class);

	private static final Set<String> OWNERSHIP = names(PoolDecision.OwnershipTaken.class,
			PoolDecision.OwnershipSettled.class, PoolDecision.OwnershipUnconfirmed.class,
			PoolDecision.OwnershipConfirmed.class, PoolDecision.OwnershipLost.class, PoolDecision.RecoveryStarted.class,
			PoolDecision.WorkersAccounted.class);

	private static final Set<String> WORKERS = names(PoolDecision.WorkerSilent.class, PoolDecision.WorkerLost.class,
			PoolDecision.WorkerAvoided.class, PoolDecision.WorkerSpeedChanged.class, PoolDecision.WorkerRestarted.class,
			PoolDecision.InheritedWorkerLost.class, PoolDecision.InheritedRunsUnread.class);

	private EventCategories() {
	}

	private static Set<String> names(Class<?>... decisions) {
		return Set.copyOf(Stream.of(decisions).map(Class::getSimpleName).toList());
	}

	/**
	 * Whether a line can be written by a process that does not own the pool.
	 * @param line the line
	 * @return {@code true} if the epoch of its process does not apply to it
	 */
	static boolean isIndependentOfOwner(LogLine line) {
		return INDEPENDENT_OF_OWNER.contains(line.event());
	}

	static boolean isJobLineOfOwner(LogLine line) {
		return line.hasField("job") && !isIndependentOfOwner(line);
	}

	static boolean isOwnershipEvent(LogLine line) {
		return OWNERSHIP.contains(line.event());
	}

	static boolean isWorkerEvent(LogLine line) {
		return WORKERS.contains(line.event());
	}

}
