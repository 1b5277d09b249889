/**
 * What customers have running, what they may have running, and who yields when there is
 * too little room.
 */
package org.monsoonrelay.logic.shares;
