/**
 * Requests that crash the targets that run them. {@link org.azureshed.poison.CrashWatch} observes
 * on the host side and {@link org.azureshed.poison.PoisonReducer} decides.
 */
package org.azureshed.poison;
