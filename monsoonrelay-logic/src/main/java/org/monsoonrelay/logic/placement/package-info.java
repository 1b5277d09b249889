/**
 * Policies that choose workers, and the values that queue and rack owners exchange.
 */
package org.monsoonrelay.logic.placement;
