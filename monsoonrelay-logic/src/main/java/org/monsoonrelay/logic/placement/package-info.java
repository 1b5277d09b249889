/**
 * Placement policies for racks and workers, and the messages between queue owners and
 * rack owners.
 */
package org.monsoonrelay.logic.placement;
