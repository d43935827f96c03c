package org.azureshed.simulation;

import java.net.InetSocketAddress;

/** Addresses of the simulated network. */
public final class Addresses {
    /** Port of the store. */
    public static final int STORE_PORT = 8000;

    /** Port on which the host side of a node listens. */
    public static final int HOST_PORT = 18300;

    /** Port of the target beside a node. */
    public static final int TARGET_PORT = 18301;

    /** Port of a node's health checks. */
    public static final int HEALTH_PORT = 18302;

    /** Port on which the entry side of a node listens. */
    public static final int ENTRY_PORT = 18304;

    /** Port for the heartbeats of a node's target. */
    public static final int CONTROL_PORT = 18306;

    /** Port for the messages of other nodes. */
    public static final int PEER_PORT = 18320;

    /** IP address of the store. */
    public static final String STORE = "10.0.0.200";

    /** Grace period of a planned stop in milliseconds. */
    public static final long GRACE_MILLIS = 6_000;

    /** Interval of heartbeats in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 1_500;

    private Addresses() {}

    /** IP address of a node and its target. */
    public static String node(int index) {
        return "10.0.0." + (index + 1);
    }

    /** IP address of the callers of a node. */
    static String callers(int index) {
        return "10.0.1." + (index + 1);
    }

    static InetSocketAddress socket(String ip, int port) {
        return new InetSocketAddress(ip, port);
    }
}
