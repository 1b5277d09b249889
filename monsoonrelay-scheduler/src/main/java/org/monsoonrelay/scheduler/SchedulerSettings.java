package org.monsoonrelay.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.monsoonrelay.adapters.node.NodeSettings;
import org.monsoonrelay.adapters.settings.AddressCheck;
import org.monsoonrelay.adapters.settings.CheckedSettings;
import org.monsoonrelay.logic.text.TextFault;
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
		int sessionLapseMillis, int workerLeaseMillis, int drainMillis) implements CheckedSettings {

	public SchedulerSettings {
		operators = (operators != null) ? List.copyOf(operators) : List.of();
	}

	@Override
	public List<TextFault> faults() {
		AddressCheck addresses = new AddressCheck();
		if (this.node != null) {
			this.node.check(addresses);
		}
		List<TextFault> faults = new ArrayList<>(addresses.listens("/operatorAddress", this.operatorAddress).faults());
		faults.addAll(duplicates("name", OperatorCredential::name));
		faults.addAll(duplicates("token", OperatorCredential::token));
		return faults;
	}

	private List<TextFault> duplicates(String field, Function<OperatorCredential, String> value) {
		List<TextFault> faults = new ArrayList<>();
		Map<String, Integer> firstIndexByValue = new HashMap<>();
		for (int index = 0; index < this.operators.size(); index++) {
			Integer earlier = firstIndexByValue.putIfAbsent(String.valueOf(value.apply(this.operators.get(index))),
					index);
			if (earlier != null) {
				faults.add(new TextFault("/operators/" + index + "/" + field,
						"the same as /operators/" + earlier + "/" + field));
			}
		}
		return faults;
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
