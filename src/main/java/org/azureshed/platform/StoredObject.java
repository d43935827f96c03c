package org.azureshed.platform;

/**
 * One version of an object in the platform's store.
 *
 * @param key kind and name of the object
 * @param version version of this value; versions are store-wide and increase with each write to any
 *     object
 * @param value the content; empty if deleted
 * @param deleted whether the object was deleted in this version
 * @param serverTimeMillis the platform's clock when it answered, in milliseconds since the epoch
 */
public record StoredObject(
        ObjectKey key, long version, byte[] value, boolean deleted, long serverTimeMillis) {}
