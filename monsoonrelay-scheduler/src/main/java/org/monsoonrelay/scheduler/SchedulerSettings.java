package org.monsoonrelay.scheduler;

import java.util.List;

import org.monsoonrelay.adapters.node.NodeSettings;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Settings of a scheduler. Immutable.
 *
 * @param node settings that every daemon has
 * @param operatorAddress where operators reach it, {@code host:port}
 * @param operators who may operate the cell
 * @param sessionLapseMillis after how long without renewal a session counts as lapsed, in
 * milliseconds
 * @param workerLeaseMillis length of the leases given to workers, in milliseconds
 * @param drainMillis how long a planned stop may take, in milliseconds
 */
public record SchedulerSettings(NodeSettings node, String operatorAddress, List<OperatorCredential> operators,
		int sessionLapseMillis, int workerLeaseMillis, int drainMillis) {

	public SchedulerSettings {
		operators = List.copyOf(operators);
	}

	public HostAddress operator() {
		return HostAddress.parse(this.operatorAddress);
	}

	/**
	 * Credential of one operator. Immutable.
	 *
	 * @param name the operator's name, for the audit trail
	 * @param token the secret that the operator shows
	 */
	public record OperatorCredential(String name, String token) {

	}

}
