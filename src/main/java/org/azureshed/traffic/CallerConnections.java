package org.azureshed.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.azureshed.dispatch.CallerAccount;
import org.azureshed.dispatch.CallerAccount.Holding;
import org.azureshed.dispatch.CallerAccount.Phase;
import org.azureshed.dispatch.CallerAccount.Resource;

/** Open connections of callers; keeps what they hold within the bounds of the account. */
final class CallerConnections {
    private final CallerAccount<EntryHandler> account;
    private final Set<EntryHandler> open = new HashSet<>();

    CallerConnections(CallerAccount<EntryHandler> account) {
        this.account = account;
    }

    int count() {
        return open.size();
    }

    /** Acts on each connection that is open now. */
    void forEach(Consumer<EntryHandler> action) {
        Set.copyOf(open).forEach(action);
    }

    Holding<EntryHandler> connected(EntryHandler connection) {
        open.add(connection);
        return account.open(connection, System.nanoTime());
    }

    /** Closes a connection if there are too many, now that one was added. */
    void limitCount(Holding<EntryHandler> newest) {
        account.surplus(newest, System.nanoTime()).ifPresent(EntryHandler::displace);
    }

    /** Counts a connection as gone that is about to close; it must not be chosen again. */
    void closing(Holding<EntryHandler> holding) {
        account.close(holding);
    }

    void disconnected(EntryHandler connection, Holding<EntryHandler> holding) {
        open.remove(connection);
        account.close(holding);
    }

    /**
     * Notes what a connection holds; displaces others if the account is full.
     *
     * @return false if the account is still over its bound, so that the connection must be refused
     */
    boolean update(
            Holding<EntryHandler> holding,
            Phase phase,
            long headBytes,
            long bufferBytes,
            long receivedBytes) {
        long before = holding.heapBytes();
        account.update(holding, phase, headBytes, bufferBytes, receivedBytes, System.nanoTime());
        long excess = account.excessHeapBytes();
        return phase == Phase.CLOSING
                || excess <= 0
                || holding.heapBytes() <= before
                || displace(holding, Resource.HEAP, excess);
    }

    /**
     * Displaces connections that hold bodies or data sent ahead without progress.
     *
     * @param requester the connection that needs the memory
     * @param bytes the memory that is needed
     * @return false if not enough can be displaced; then none is
     */
    boolean makeRoom(Holding<EntryHandler> requester, long bytes) {
        return displace(requester, Resource.BUFFERS, bytes);
    }

    private boolean displace(Holding<EntryHandler> requester, Resource resource, long bytes) {
        Optional<List<EntryHandler>> displaced =
                account.displaced(requester, resource, bytes, System.nanoTime());
        displaced.ifPresent(connections -> connections.forEach(EntryHandler::displace));
        return displaced.isPresent();
    }
}
