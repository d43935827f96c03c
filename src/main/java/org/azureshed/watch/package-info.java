/**
 * Decides when a node asks the store for the configuration, so that it learns of a change soon also
 * if answers of the store are lost. Pure decisions: callers pass events and the time, and carry out
 * the effects.
 */
package org.azureshed.watch;
