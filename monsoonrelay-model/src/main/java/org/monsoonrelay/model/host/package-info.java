/**
 * Hosts of the platform, as listed in its host list.
 */
package org.monsoonrelay.model.host;
