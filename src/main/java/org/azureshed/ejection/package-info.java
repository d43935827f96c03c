/**
 * Outlier ejection: the nodes agree on the targets that receive fewer requests or none. {@link
 * org.azureshed.ejection.EjectionReducer} contains the logic without I/O; {@code internal} calls
 * the platform and the targets.
 */
package org.azureshed.ejection;
