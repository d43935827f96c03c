package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's store. Calls do not block; each reports its result once, on the event loop. No
 * call is repeated by the client.
 *
 * <pre>{@code
 * store.list("config", "", false, result -> ...);
 * }</pre>
 */
public interface FleetStore {
    /**
     * An object of the store.
     *
     * @param kind its kind
     * @param name its name, unique within the kind
     * @param revision revision of its last change
     * @param removed whether the change was its removal
     * @param content what its writer stored
     */
    record StoredEntry(
            String kind, String name, long revision, boolean removed, JsonNode content) {}

    /** How a call ended. */
    sealed interface Result {
        /**
         * The call was carried out.
         *
         * @param entries the objects read or written
         * @param revision the store's revision; 0 if the call does not tell
         * @param more whether the listing continues after the last entry
         */
        record Done(List<StoredEntry> entries, long revision, boolean more) implements Result {}

        /** The object does not exist. */
        record Missing() implements Result {}

        /** The object exists already, or has another revision than the call named. */
        record Conflict() implements Result {}

        /** The history since the watched revision is gone; the objects must be read again. */
        record HistoryGone() implements Result {}

        /**
         * The store refused the call and did nothing.
         *
         * @param cause for the log
         */
        record Refused(String cause) implements Result {}

        /**
         * No usable answer came; a write may have been done, or may be done later.
         *
         * @param cause for the log
         */
        record NoAnswer(String cause) implements Result {}
    }

    /**
     * Lists a page of the objects of a kind.
     *
     * @param kind the kind
     * @param after name after which the page begins; empty for the first page
     * @param staleIsEnough whether data that is seconds old is enough, at a tenth of the price
     * @param done receives the result
     */
    void list(String kind, String after, boolean staleIsEnough, Consumer<Result> done);

    /**
     * Waits for changes of a kind.
     *
     * @param kind the kind
     * @param revision revision after which changes are wanted
     * @param waitMillis longest wait
     * @param done receives the changes; none if there was no change
     */
    void watch(String kind, long revision, long waitMillis, Consumer<Result> done);

    /**
     * Creates an object.
     *
     * @param kind its kind
     * @param name its name
     * @param content its content
     * @param done receives the result
     */
    void create(String kind, String name, JsonNode content, Consumer<Result> done);

    /**
     * Replaces the content of an object, whatever its revision.
     *
     * @param kind its kind
     * @param name its name
     * @param content its content
     * @param done receives the result
     */
    void replace(String kind, String name, JsonNode content, Consumer<Result> done);
}
