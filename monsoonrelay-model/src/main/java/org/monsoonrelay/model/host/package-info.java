/**
 * Hosts as the platform's host list names them.
 */
package org.monsoonrelay.model.host;
