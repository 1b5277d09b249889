package org.monsoonrelay.logic.events;

/**
 * Decisions of a process about itself and what it depends on: its life, its settings, the
 * services that it uses. Immutable.
 */
public sealed interface ProcessDecision extends Decision {

	/**
	 * A process has begun to serve.
	 *
	 * @param role its role
	 * @param host its host
	 * @param failureDomain where it stands
	 * @param sinceLaunchMillis time since the process was launched
	 */
	record ProcessStarted(String role, String host, String failureDomain,
			long sinceLaunchMillis) implements ProcessDecision {

	}

	/**
	 * A process was told to stop.
	 *
	 * @param role its role
	 * @param inFlight exchanges in flight
	 */
	record ProcessStopping(String role, int inFlight) implements ProcessDecision {

	}

	/**
	 * A process has stopped.
	 *
	 * @param role its role
	 * @param drainMillis how long that took
	 */
	record ProcessStopped(String role, long drainMillis) implements ProcessDecision {

	}

	/**
	 * The settings were read again.
	 *
	 * @param role the process's role
	 * @param outcome what came of it
	 */
	record SettingsReloaded(String role, String outcome) implements ProcessDecision {

	}

	/**
	 * A dependency does not answer any more.
	 *
	 * @param dependency what
	 * @param reason the first failure
	 */
	record DependencyLost(String dependency, String reason) implements ProcessDecision {

	}

	/**
	 * A dependency answers again.
	 *
	 * @param dependency what
	 * @param outageMillis how long it did not
	 */
	record DependencyBack(String dependency, long outageMillis) implements ProcessDecision {

	}

	/**
	 * A row of the table cannot be read and is left out. Written once until it can be
	 * read again or the reason changes.
	 *
	 * @param table its table
	 * @param key its key
	 * @param reason why
	 */
	record RowUnreadable(String table, String key, String reason) implements ProcessDecision {

	}

	/**
	 * A configuration is in force.
	 *
	 * @param version its version
	 * @param previousVersion the one before
	 * @param queues number of queues
	 */
	record ConfigurationInForce(long version, long previousVersion, int queues) implements ProcessDecision {

	}

}
