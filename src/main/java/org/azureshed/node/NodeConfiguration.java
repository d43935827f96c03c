package org.azureshed.node;

import io.dropwizard.core.Configuration;

/** Dropwizard configuration of a node, generated from {@link NodeSettings}. */
final class NodeConfiguration extends Configuration {}
