/** Connects the distribution reducer to peers and the platform; no API. */
package org.azureshed.distribution.internal;
