package org.azureshed.platform;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies an object in the platform's store by its kind and name.
 *
 * @param kind type of the object, for example {@code node}
 * @param name unique within the kind
 */
public record ObjectKey(String kind, String name) {
    /** Checks that both parts can be used as a URL path segment without escaping. */
    public ObjectKey {
        checkArgument(kind.matches("[A-Za-z0-9._-]+"), "object kind \"%s\" is malformed", kind);
        checkArgument(name.matches("[A-Za-z0-9._-]+"), "object name \"%s\" is malformed", name);
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
