package org.azureshed.control;

import org.azureshed.model.Preset;

/**
 * The preset in force.
 *
 * @param number activation number; a node never applies a lower one than before
 * @param preset its contents
 */
public record ActivePreset(long number, Preset preset) {}
