/**
 * View of the nodes and targets of the fleet, maintained by gossip. {@link
 * org.azureshed.membership.MembershipReducer} decides; {@code internal} sends and receives the
 * messages.
 */
package org.azureshed.membership;
