/**
 * The scheduler of a cell that runs submitted jobs: composition only.
 */
package org.monsoonrelay.scheduler.pool;
