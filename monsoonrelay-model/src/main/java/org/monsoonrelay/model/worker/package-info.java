/**
 * The worker aggregate: what one host has granted and reserved.
 */
package org.monsoonrelay.model.worker;
