/**
 * Tests of taking jobs from callers.
 */
package org.monsoonrelay.logic.submission;
