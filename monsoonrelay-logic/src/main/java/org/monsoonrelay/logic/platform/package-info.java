/**
 * Interfaces to the platform's table service, object store and host list, and a follower
 * of table changes.
 */
package org.monsoonrelay.logic.platform;
