/**
 * Test doubles of the platform's store and of a target, both with injectable faults, and the
 * workload for a node while the build records its class data sharing (CDS) archive.
 */
package org.azureshed.platform.standin;
