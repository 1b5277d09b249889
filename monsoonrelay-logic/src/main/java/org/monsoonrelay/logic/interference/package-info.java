/**
 * Tasks that slow each other down on one worker: who slows whom, which workers are
 * preferred therefore, and which filling tasks are slowed for tasks that serve users.
 */
package org.monsoonrelay.logic.interference;
