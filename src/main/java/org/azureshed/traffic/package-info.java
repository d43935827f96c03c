/**
 * The HTTP/1.1 traffic path of a node on Netty: callers' connections at the entry side, other
 * nodes' connections at the host side, and the connections to nodes and to the local target. It
 * carries out what the packages dispatch and host decide.
 */
package org.azureshed.traffic;
