/**
 * Conditional writes whose outcome is not known yet.
 */
package org.monsoonrelay.logic.writes;
