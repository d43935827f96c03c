/**
 * View of the nodes and targets of the fleet, kept by gossip. {@link
 * org.azureshed.membership.MembershipReducer} decides; the shell in {@code internal} sends and
 * receives.
 */
package org.azureshed.membership;
