/**
 * Decision logic of the entry side, free of I/O: which route a request takes, in which order it is
 * offered to targets, when it is retried or hedged, and what its caller is answered.
 */
package org.azureshed.dispatch;
