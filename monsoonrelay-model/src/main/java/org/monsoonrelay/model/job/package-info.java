/**
 * The job aggregate: tasks of one declared workload and their attempts.
 */
package org.monsoonrelay.model.job;
