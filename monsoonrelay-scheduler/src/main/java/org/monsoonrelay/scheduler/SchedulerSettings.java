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
 * @param node settings common to all daemons
 * @param operatorAddress address for operators, {@code host:port}
 * @param operators credentials of the operators
 * @param sessionLapseMillis time after which a session that is not renewed expires, in
 * milliseconds
 * @param workerLeaseMillis duration of worker leases, in milliseconds
 * @param drainMillis maximum duration of a planned stop, in milliseconds
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
	 * @param token the bearer token that the operator sends
	 */
	public record OperatorCredential(String name, String token) {

	}

}
