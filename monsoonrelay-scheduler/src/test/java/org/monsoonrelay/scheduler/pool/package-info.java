/**
 * Tests of the scheduler program.
 */
package org.monsoonrelay.scheduler.pool;
