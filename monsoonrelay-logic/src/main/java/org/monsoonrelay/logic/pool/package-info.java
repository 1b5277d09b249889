/**
 * Running submitted jobs on a pool of workers: one owner at a time decides what starts
 * where, from memory, and makes ends durable before workers forget them.
 */
package org.monsoonrelay.logic.pool;
