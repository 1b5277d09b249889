/**
 * The queue owner: jobs of a team, their order, quota and durable progress.
 */
package org.monsoonrelay.logic.queue;
