package org.azureshed.node;

import io.dropwizard.core.Configuration;

/** Dropwizard configuration of a node; it is generated from {@link NodeSettings}. */
final class NodeConfiguration extends Configuration {}
