/**
 * The scheduler of a cell that runs submitted jobs: creates and connects its components.
 */
package org.monsoonrelay.scheduler.pool;
