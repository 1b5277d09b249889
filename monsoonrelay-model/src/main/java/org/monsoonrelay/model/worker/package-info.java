/**
 * Workers: the reservations and grants of one host that runs tasks.
 */
package org.monsoonrelay.model.worker;
