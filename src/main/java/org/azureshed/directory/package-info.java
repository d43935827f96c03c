/**
 * Which nodes and targets exist, without input or output: the register of the local target's
 * heartbeats and the directory that all nodes merge from each other and from the store.
 */
package org.azureshed.directory;
