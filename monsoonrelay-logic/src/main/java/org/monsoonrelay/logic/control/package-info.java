/**
 * Accepting edits of the control state and following the version in force.
 */
package org.monsoonrelay.logic.control;
