/**
 * Runs submitted jobs on a pool of workers. A single owner at a time decides from its
 * memory which task starts on which worker, and stores the results durably before the
 * workers discard them.
 */
package org.monsoonrelay.logic.pool;
