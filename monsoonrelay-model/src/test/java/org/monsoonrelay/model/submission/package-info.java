/**
 * Tests of submitted jobs.
 */
package org.monsoonrelay.model.submission;
