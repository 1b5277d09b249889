/**
 * Tests of the progress of jobs.
 */
package org.monsoonrelay.model.job;
