/**
 * Outcomes of a caller's request.
 */
package org.monsoonrelay.model.request;
