/**
 * Tests of the platform interfaces and of the table follower.
 */
package org.monsoonrelay.logic.platform;
