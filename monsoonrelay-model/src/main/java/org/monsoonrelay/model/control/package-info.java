/**
 * Versioned control state that operators edit: configuration text, cancellations and
 * stopped workloads.
 */
package org.monsoonrelay.model.control;
