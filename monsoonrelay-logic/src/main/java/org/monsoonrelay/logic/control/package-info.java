/**
 * Accepts edits of the control state and follows its active version.
 */
package org.monsoonrelay.logic.control;
