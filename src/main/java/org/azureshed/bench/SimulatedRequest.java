package org.azureshed.bench;

import org.azureshed.model.RequestClass;

/**
 * One request of a workload. All policies of a run get the same ones.
 *
 * @param arrivalNanos when it arrives at its entry node
 * @param entry index of the entry node
 * @param requestClass its class
 * @param organisation its organisation
 * @param serviceNanos time that it takes on a healthy warm target
 */
record SimulatedRequest(
        long arrivalNanos,
        int entry,
        RequestClass requestClass,
        String organisation,
        long serviceNanos) {}
