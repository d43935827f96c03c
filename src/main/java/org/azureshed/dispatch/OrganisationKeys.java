package org.azureshed.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the organisation that holds a key. Immutable.
 *
 * <p>Keys are kept as SHA-256 digests only: the time of a lookup tells nothing about the keys that
 * exist, and no key can reach a log or an error message from here.
 */
public final class OrganisationKeys {
    /** A configuration without organisations: requests need no keys. */
    public static final OrganisationKeys NONE = new OrganisationKeys(Map.of());

    private final Map<HashCode, Organisation> byDigest;

    /**
     * Creates the lookup.
     *
     * @param keysByOrganisation keys of each organisation
     * @throws IllegalArgumentException if two organisations hold the same key; the message names
     *     them, not the key
     */
    public OrganisationKeys(Map<Organisation, Set<String>> keysByOrganisation) {
        Map<HashCode, Organisation> found = new HashMap<>();
        keysByOrganisation.forEach(
                (organisation, keys) -> {
                    for (String key : keys) {
                        Organisation other = found.put(digest(key), organisation);
                        checkArgument(
                                other == null || other.equals(organisation),
                                "organisations %s and %s hold the same key",
                                other == null ? "" : other.name(),
                                organisation.name());
                    }
                });
        byDigest = Map.copyOf(found);
    }

    /**
     * Finds the holder of a key.
     *
     * @param key key as the caller sent it
     * @return the organisation, or empty if none holds the key
     */
    public Optional<Organisation> holder(String key) {
        return Optional.ofNullable(byDigest.get(digest(key)));
    }

    private static HashCode digest(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8);
    }
}
