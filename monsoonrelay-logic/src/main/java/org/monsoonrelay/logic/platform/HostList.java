package org.monsoonrelay.logic.platform;

import java.util.List;

import org.monsoonrelay.model.host.Host;

/**
 * A snapshot of the platform's host list. Immutable.
 *
 * @param version version of the list; a snapshot with a lower version than an earlier one
 * is stale
 * @param hosts the listed hosts
 */
public record HostList(long version, List<Host> hosts) {

	public HostList {
		hosts = List.copyOf(hosts);
	}

}
