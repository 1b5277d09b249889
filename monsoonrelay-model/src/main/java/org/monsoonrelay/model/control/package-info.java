/**
 * The control state that operators change: text, cancellations and stops, by version.
 */
package org.monsoonrelay.model.control;
