package org.poplarwharf.internal.gateway;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The memory that a node holds for the other ends of its connections: parts of requests, requests that wait or are under
 * way, and responses that nobody has read. Answers the load of very many connections that send much and finish nothing, or
 * read nothing.
 *
 * <p>Invariants: what is held is the sum over the open shares. A small share may use memory that large ones may not, so
 * that ordinary requests find room while large ones do not. When there is no room, the share that holds most for longest
 * is evicted before a lighter one is refused. A share that only holds requests under way is not evicted. Uses no network
 * and no clock. Confined to one thread.
 */
final class HeldMemory {
    /** The size up to which a share counts as small: far more than the heads and bodies of most requests. */
    static final int SMALL_SHARE_BYTES = 64 * 1024;

    private final long largeBudgetBytes;
    private final long budgetBytes;
    private final Set<Share> shares = new LinkedHashSet<>();
    private long heldBytes;

    /** A connection that holds memory. */
    interface Owner {
        /** Brings the share up to date. */
        void restate();

        /** Returns whether the connection may be closed to free its memory. */
        boolean isEvictable();

        /** Closes the connection, whose share is closed already. */
        void evict();
    }

    /** @param largeBudgetBytes what all shares may hold while one that asks for more is large; half of what small ones may use */
    HeldMemory(long largeBudgetBytes) {
        this.largeBudgetBytes = largeBudgetBytes;
        this.budgetBytes = 2 * largeBudgetBytes;
    }

    /** Returns the budget for a process of the given limits: a quarter of its heap, or half of its direct memory if that is less. */
    static long largeBudgetBytes(long maxHeapBytes, long maxDirectBytes) {
        return Math.min(maxHeapBytes / 4, maxDirectBytes / 2);
    }

    Share open(Owner owner) {
        Share share = new Share(owner);
        shares.add(share);
        return share;
    }

    long heldBytes() {
        return heldBytes;
    }

    private Optional<Share> heaviest(long nowMillis) {
        return shares.stream()
                .filter(share -> share.bytes > 0 && share.owner.isEvictable())
                .max(Comparator.comparingDouble(share -> share.weight(0, nowMillis)));
    }

    /** The memory of one connection. */
    final class Share {
        private final Owner owner;
        private long bytes;
        private long sinceMillis;
        private boolean isClosed;

        private Share(Owner owner) {
            this.owner = owner;
        }

        /** Holds more if there is room, or can be made by evicting heavier shares; returns whether it does. */
        boolean tryHold(long moreBytes, long nowMillis) {
            if (!fits(moreBytes)) {
                List.copyOf(shares).forEach(share -> share.owner.restate());
            }
            while (!fits(moreBytes)) {
                Optional<Share> heaviest = heaviest(nowMillis);
                if (heaviest.isEmpty() || heaviest.get().weight(0, nowMillis) <= weight(moreBytes, nowMillis)) {
                    return false;
                }
                heaviest.get().evict();
            }
            add(moreBytes, nowMillis);
            return true;
        }

        /** Holds more in any case, and evicts the heaviest shares, which may include this one, if there is no room for it. */
        void hold(long moreBytes, long nowMillis) {
            add(moreBytes, nowMillis);
            if (heldBytes <= budgetBytes) {
                return;
            }
            List.copyOf(shares).forEach(share -> share.owner.restate());
            while (heldBytes > budgetBytes) {
                Optional<Share> heaviest = heaviest(nowMillis);
                if (heaviest.isEmpty()) {
                    return;
                }
                heaviest.get().evict();
            }
        }

        void release(long lessBytes) {
            long releasedBytes = Math.min(lessBytes, bytes);
            bytes -= releasedBytes;
            heldBytes -= releasedBytes;
        }

        void close() {
            release(bytes);
            isClosed = true;
            shares.remove(this);
        }

        private void evict() {
            close();
            owner.evict();
        }

        private void add(long moreBytes, long nowMillis) {
            if (isClosed) {
                return;
            }
            if (bytes == 0) {
                sinceMillis = nowMillis;
            }
            bytes += moreBytes;
            heldBytes += moreBytes;
        }

        private boolean fits(long moreBytes) {
            boolean small = bytes + moreBytes <= SMALL_SHARE_BYTES;
            return heldBytes + moreBytes <= (small ? budgetBytes : largeBudgetBytes);
        }

        private double weight(long moreBytes, long nowMillis) {
            double heldMillis = bytes == 0 ? 0 : nowMillis - sinceMillis;
            return (bytes + moreBytes) * (1 + heldMillis);
        }
    }
}
