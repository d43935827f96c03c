/**
 * Test doubles of the platform: its store and a target, with the faults that they show, and a
 * workload that exercises a node while its class cache is made.
 */
package org.azureshed.platform.standin;
