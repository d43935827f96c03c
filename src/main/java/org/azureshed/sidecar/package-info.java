/**
 * The node as a small process beside each target, without a servlet container: its settings, its
 * listeners, and the synchronisation of the configuration and the directory of nodes through the
 * store and by gossip with other nodes.
 */
package org.azureshed.sidecar;
