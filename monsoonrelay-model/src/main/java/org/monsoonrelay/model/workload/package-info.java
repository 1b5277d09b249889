/**
 * Workloads that operators declare, with their teams, quotas and targets.
 */
package org.monsoonrelay.model.workload;
