/**
 * Taking jobs from callers: acceptance, cancellation, and what callers are told.
 */
package org.monsoonrelay.logic.submission;
