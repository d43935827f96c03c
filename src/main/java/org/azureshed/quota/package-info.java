/**
 * Limits on what the whole fleet runs for an organisation: who grants requests, and what happens
 * when that node is gone. No I/O, no clock and no random numbers.
 */
package org.azureshed.quota;
