/**
 * Tests of the scheduler of a cell that runs submitted jobs.
 */
package org.monsoonrelay.scheduler.pool;
