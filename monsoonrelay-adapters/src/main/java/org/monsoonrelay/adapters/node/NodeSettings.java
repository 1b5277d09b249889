package org.monsoonrelay.adapters.node;

import java.util.List;

import org.monsoonrelay.adapters.settings.AddressCheck;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Settings common to all daemons. Immutable.
 *
 * @param name the name of the process in logs
 * @param failureDomain the failure domain of the process
 * @param peerAddress the address on which the process listens for peers,
 * {@code host:port}
 * @param platform the address of the platform, {@code host:port}
 * @param peers the peer addresses of the other processes, {@code host:port} each
 * @param secret the shared secret with which the peers of a cell authenticate
 */
public record NodeSettings(String name, String failureDomain, String peerAddress, String platform, List<String> peers,
		String secret) {

	public NodeSettings {
		peers = (peers != null) ? List.copyOf(peers) : List.of();
	}

	/**
	 * Validates the addresses of these settings.
	 * @param addresses the check of all addresses of the process
	 */
	public void check(AddressCheck addresses) {
		addresses.listens("/node/peerAddress", this.peerAddress).calls("/node/platform", this.platform);
		for (int index = 0; index < this.peers.size(); index++) {
			addresses.calls("/node/peers/" + index, this.peers.get(index));
		}
	}

	public HostAddress peerListenAddress() {
		return HostAddress.parse(this.peerAddress);
	}

	public HostAddress platformAddress() {
		return HostAddress.parse(this.platform);
	}

	/**
	 * Returns the addresses of the other processes.
	 * @return the peer addresses without the address of this process
	 */
	public List<HostAddress> peerAddresses() {
		return this.peers.stream()
			.filter((address) -> !address.equals(this.peerAddress))
			.map(HostAddress::parse)
			.toList();
	}

}
