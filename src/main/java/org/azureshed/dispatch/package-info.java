/**
 * Decisions of the entry side without input or output: which route a request takes, in which order
 * targets are offered it, when it is sent again and what its caller is told.
 */
package org.azureshed.dispatch;
