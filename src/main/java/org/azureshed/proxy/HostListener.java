package org.azureshed.proxy;

/**
 * The listener of the host side, the only one on which internal headers are trusted.
 *
 * @param port the port that this process listens on; the advertised port may differ
 */
public record HostListener(int port) {}
