package org.azureshed.traffic;

import java.net.InetSocketAddress;

/** Parses socket addresses in the form that settings and directory entries use. */
final class SocketAddresses {
    private SocketAddresses() {}

    /** Parses an IP address and port, for example {@code 10.0.0.1:8300}. */
    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
