package org.monsoonrelay.logic.events;

/**
 * Decisions of a process about itself and its dependencies: start and stop, settings, and
 * the services that it uses. Immutable.
 */
public sealed interface ProcessDecision extends Decision {

	/**
	 * A process has started and accepts requests.
	 *
	 * @param role its role
	 * @param host its host
	 * @param failureDomain failure domain of the host
	 * @param sinceLaunchMillis time since the process was launched
	 * @param release the release of the process
	 */
	record ProcessStarted(String role, String host, String failureDomain, long sinceLaunchMillis,
			String release) implements ProcessDecision {

		public ProcessStarted(String role, String host, String failureDomain, long sinceLaunchMillis) {
			this(role, host, failureDomain, sinceLaunchMillis, Release.current());
		}

	}

	/**
	 * A process was requested to stop.
	 *
	 * @param role its role
	 * @param inFlight number of exchanges in flight
	 */
	record ProcessStopping(String role, int inFlight) implements ProcessDecision {

	}

	/**
	 * A process has stopped.
	 *
	 * @param role its role
	 * @param drainMillis time from the request to stop until the process had stopped
	 */
	record ProcessStopped(String role, long drainMillis) implements ProcessDecision {

	}

	/**
	 * The settings were reloaded.
	 *
	 * @param role the process's role
	 * @param outcome outcome of the reload
	 */
	record SettingsReloaded(String role, String outcome) implements ProcessDecision {

	}

	/**
	 * A dependency has become unavailable.
	 *
	 * @param dependency name of the dependency
	 * @param reason the first failure
	 */
	record DependencyLost(String dependency, String reason) implements ProcessDecision {

	}

	/**
	 * A dependency is available again.
	 *
	 * @param dependency name of the dependency
	 * @param outageMillis duration of the outage, -1 if it is not measured
	 */
	record DependencyBack(String dependency, long outageMillis) implements ProcessDecision {

	}

	/**
	 * A row cannot be read and is skipped. Written once until the row can be read again
	 * or the reason changes.
	 *
	 * @param table name of the table
	 * @param key key of the row
	 * @param reason reason for the failure
	 */
	record RowUnreadable(String table, String key, String reason) implements ProcessDecision {

	}

	/**
	 * A configuration has come into force.
	 *
	 * @param version its version
	 * @param previousVersion version of the previous configuration
	 * @param queues number of queues
	 * @param rowVersion version of its row in the table
	 * @param source how it was received
	 * @param sinceConfirmedMillis time since the table last confirmed the previous
	 * version, within which this one was written; -1 for the first one
	 */
	record ConfigurationInForce(long version, long previousVersion, int queues, long rowVersion, Source source,
			long sinceConfirmedMillis) implements ProcessDecision {

		/** How a configuration was received. */
		public enum Source {

			/** By the change feed. */
			FEED,

			/** By a read of the whole partition. */
			READ

		}

	}

	/**
	 * Withdrawals that no submission can meet any more are removed from the table.
	 *
	 * @param partition the partition of their jobs
	 * @param rows number of withdrawals
	 */
	record WithdrawalsRemoved(String partition, int rows) implements ProcessDecision {

	}

}
