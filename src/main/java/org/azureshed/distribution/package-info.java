/**
 * Distributes the preset in force to all nodes: relays watch the platform, the others fetch from
 * peers. {@link org.azureshed.distribution.DistributionReducer} decides; {@link
 * org.azureshed.distribution.ContentStore} stores the fetched contents.
 */
package org.azureshed.distribution;
