/**
 * Detection of poison requests, which crash the targets that process them. {@link
 * org.azureshed.poison.CrashWatch} tracks requests and crashes on the host side, and {@link
 * org.azureshed.poison.PoisonReducer} decides which requests are suspect or refused.
 */
package org.azureshed.poison;
