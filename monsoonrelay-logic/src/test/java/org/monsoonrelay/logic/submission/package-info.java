/**
 * Tests of accepting jobs from callers.
 */
package org.monsoonrelay.logic.submission;
