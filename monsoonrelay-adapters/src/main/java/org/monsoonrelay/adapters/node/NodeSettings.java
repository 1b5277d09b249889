package org.monsoonrelay.adapters.node;

import java.util.List;

import org.monsoonrelay.adapters.settings.AddressCheck;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Settings that every daemon has. Immutable.
 *
 * @param name the process's name, for logs
 * @param failureDomain the failure domain it stands in
 * @param peerAddress where it listens for peers, {@code host:port}
 * @param platform where the platform listens, {@code host:port}
 * @param peers where the other processes listen for peers, {@code host:port} each
 * @param secret the cell's secret, which peers show each other
 */
public record NodeSettings(String name, String failureDomain, String peerAddress, String platform, List<String> peers,
		String secret) {

	public NodeSettings {
		peers = (peers != null) ? List.copyOf(peers) : List.of();
	}

	/**
	 * Check the addresses.
	 * @param addresses the check of the whole process's addresses
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
	 * The other processes' addresses.
	 * @return the addresses without this process's own
	 */
	public List<HostAddress> peerAddresses() {
		return this.peers.stream()
			.filter((address) -> !address.equals(this.peerAddress))
			.map(HostAddress::parse)
			.toList();
	}

}
