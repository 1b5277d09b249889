/**
 * Reading and checking a process's settings.
 */
package org.monsoonrelay.adapters.settings;
