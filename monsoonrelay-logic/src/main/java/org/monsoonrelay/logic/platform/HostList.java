package org.monsoonrelay.logic.platform;

import java.util.List;

import org.monsoonrelay.model.host.Host;

/**
 * One reading of the platform's host list. Immutable.
 *
 * @param version version of the list; a reading with a lower version than one seen before
 * is stale
 * @param hosts the hosts in it
 */
public record HostList(long version, List<Host> hosts) {

	public HostList {
		hosts = List.copyOf(hosts);
	}

}
