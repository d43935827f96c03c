/**
 * Control connections between nodes: length-prefixed protobuf over TCP. {@link
 * org.azureshed.transport.ControlTransport} is the entry point.
 */
package org.azureshed.transport;
