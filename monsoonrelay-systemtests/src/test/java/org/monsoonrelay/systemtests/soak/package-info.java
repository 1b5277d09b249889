/**
 * Soak of the program of a host: clients hand jobs in over connections that they keep,
 * while processes are stopped, killed, paused and hung up in series that overlap.
 */
package org.monsoonrelay.systemtests.soak;
