/**
 * Tests of running jobs on a pool of workers, on virtual time.
 */
package org.monsoonrelay.logic.pool;
