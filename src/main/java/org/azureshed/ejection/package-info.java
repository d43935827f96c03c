/**
 * Agreement on the targets that receive no or fewer requests. {@link
 * org.azureshed.ejection.EjectionReducer} decides; the shell in {@code internal} calls the platform
 * and the targets.
 */
package org.azureshed.ejection;
