/**
 * The rack owner: ledger of workers, their leases and the attempts on them.
 */
package org.monsoonrelay.logic.rack;
