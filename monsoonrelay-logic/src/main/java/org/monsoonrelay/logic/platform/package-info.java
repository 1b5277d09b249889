/**
 * Ports to the platform's table service, object store and host list.
 */
package org.monsoonrelay.logic.platform;
