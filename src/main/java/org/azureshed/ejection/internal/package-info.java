/** Side effects of ejection: calls to the platform's store and probes of targets. */
package org.azureshed.ejection.internal;
