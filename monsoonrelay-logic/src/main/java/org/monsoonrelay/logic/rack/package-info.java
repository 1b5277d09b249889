/**
 * Management of owned racks: the committed capacity of their workers, the worker leases
 * and the attempts placed on the workers.
 */
package org.monsoonrelay.logic.rack;
