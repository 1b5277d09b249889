/**
 * Jobs: the tasks of a declared workload and their attempts.
 */
package org.monsoonrelay.model.job;
