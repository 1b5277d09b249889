package org.monsoonrelay.adapters.operator;

/**
 * One process of the cell as a scheduler has heard of it. Immutable.
 *
 * @param session random identity of this start of the process
 * @param address where it listens for peers
 * @param role gateway or scheduler
 * @param failureDomain the failure domain it stands in
 * @param version the version in force there
 */
public record ProcessStatus(String session, String address, String role, String failureDomain, long version) {

}
