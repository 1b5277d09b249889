/**
 * Tests of the queue owner.
 */
package org.monsoonrelay.logic.queue;
