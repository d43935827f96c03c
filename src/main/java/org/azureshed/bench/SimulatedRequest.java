package org.azureshed.bench;

import org.azureshed.model.RequestClass;

/**
 * One generated request. All policies of a run receive the same requests.
 *
 * @param arrivalNanos virtual time at which it arrives at its entry node
 * @param entryNode index of the entry node
 * @param requestClass class of the request
 * @param organisation organisation that sent it
 * @param serviceNanos service time on a healthy warm target
 */
record SimulatedRequest(
        long arrivalNanos,
        int entryNode,
        RequestClass requestClass,
        String organisation,
        long serviceNanos) {}
