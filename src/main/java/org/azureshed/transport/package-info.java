/**
 * Control connections between nodes: length-prefixed protobuf over TCP. {@link
 * org.azureshed.transport.ControlTransport} is the facade.
 */
package org.azureshed.transport;
