/**
 * Decision logic of the host side, free of I/O: which offered requests the local target runs, in
 * which order the others wait, and when the target counts as slow or failing.
 */
package org.azureshed.host;
