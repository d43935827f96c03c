/** Carries out the effects of ejection. */
package org.azureshed.ejection.internal;
