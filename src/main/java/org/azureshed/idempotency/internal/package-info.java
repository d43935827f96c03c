/** Input and output of key ranges: platform objects and control messages. */
package org.azureshed.idempotency.internal;
