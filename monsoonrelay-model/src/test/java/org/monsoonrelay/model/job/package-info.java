/**
 * Tests of jobs and their attempts.
 */
package org.monsoonrelay.model.job;
