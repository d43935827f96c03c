/**
 * The HTTP/1.1 traffic path of a node on Netty: inbound connections of callers (entry side) and of
 * other nodes (host side), and outbound connections to nodes and to the local target. It executes
 * the decisions of the packages dispatch and host.
 */
package org.azureshed.traffic;
