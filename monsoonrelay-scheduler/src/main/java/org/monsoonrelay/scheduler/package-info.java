/**
 * The scheduler: places tasks on workers and answers operators.
 */
package org.monsoonrelay.scheduler;
