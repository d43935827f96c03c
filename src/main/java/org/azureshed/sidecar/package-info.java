/**
 * The node as a small process beside each target, without a servlet container: its settings, its
 * listeners, and how it keeps the configuration and the directory of nodes up to date through the
 * store and the other nodes.
 */
package org.azureshed.sidecar;
