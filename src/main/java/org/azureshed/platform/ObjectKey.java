package org.azureshed.platform;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Name of an object in the platform's store.
 *
 * @param kind for example {@code node}
 * @param name name within the kind
 */
public record ObjectKey(String kind, String name) {
    /** Checks that both parts fit into a URL path segment. */
    public ObjectKey {
        checkArgument(kind.matches("[A-Za-z0-9._-]+"), "object kind \"%s\" is malformed", kind);
        checkArgument(name.matches("[A-Za-z0-9._-]+"), "object name \"%s\" is malformed", name);
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
