/**
 * Customers: which caller acts for which of them, and whose jobs are whose.
 */
package org.monsoonrelay.logic.customers;
