/**
 * Deterministic simulation of a fleet: whole nodes, targets, callers and the store run on one
 * thread, on a virtual clock and a simulated network. The nodes are the shipped classes, loaded by
 * {@link org.azureshed.simulation.NodeClassLoader}; the other parties do what the platform's pages
 * allow. {@link org.azureshed.simulation.RuleJudge} judges only what those parties see.
 */
package org.azureshed.simulation;
