/**
 * Customers, who share the workers, and their keys.
 */
package org.monsoonrelay.model.customer;
