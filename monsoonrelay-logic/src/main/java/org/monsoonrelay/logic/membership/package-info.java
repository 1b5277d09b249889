/**
 * Session liveness and assignment of racks and queues to live sessions.
 */
package org.monsoonrelay.logic.membership;
