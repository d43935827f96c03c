/**
 * Known nodes and targets, free of I/O: the state of the local target from its heartbeats, and the
 * directory that each node merges from the entries of other nodes and of the store.
 */
package org.azureshed.directory;
