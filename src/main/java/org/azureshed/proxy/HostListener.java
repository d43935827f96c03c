package org.azureshed.proxy;

/**
 * The listener of the host side. Internal headers are trusted only on it.
 *
 * @param port the port that this process listens on, which need not be the advertised one
 */
public record HostListener(int port) {}
