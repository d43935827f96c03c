package org.azureshed.platform;

/**
 * One version of an object.
 *
 * @param key the object's name
 * @param version version of this value; the store's versions grow with each write to any object
 * @param value the content; empty if deleted
 * @param deleted whether the object was deleted in this version
 * @param serverTimeMillis the platform's clock when it answered, in milliseconds since the epoch
 */
public record StoredObject(
        ObjectKey key, long version, byte[] value, boolean deleted, long serverTimeMillis) {}
