/** Connects the membership reducer to control connections; no API. */
package org.azureshed.membership.internal;
