/**
 * The queue owner: scheduling of team queues, quotas and the durable progress of jobs.
 */
package org.monsoonrelay.logic.queue;
