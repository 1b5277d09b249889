/**
 * What operators declare: services, batch runs, jobs, teams and targets.
 */
package org.monsoonrelay.model.workload;
