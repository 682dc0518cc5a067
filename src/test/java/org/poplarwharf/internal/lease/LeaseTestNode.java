package org.poplarwharf.internal.lease;

import java.util.ArrayList;
import java.util.List;
import org.poplarwharf.support.FakeKeyedLog;

/** A node with a lease and with clocks that a test advances. */
final class LeaseTestNode {
    static final long START_MILLIS = 100_000;

    final HolderLease lease;
    boolean frozen;
    boolean expired;
    boolean reachesTargets = true;
    int claimCount;
    String followedHolder = "";
    private final String id;
    private final int startNumber;
    private final List<Task> tasks = new ArrayList<>();
    private long steadyMillis = START_MILLIS;
    private long wallMillis = 5_000_000;

    private record Task(long atMillis, Runnable action) {}

    LeaseTestNode(String id, FakeKeyedLog log) {
        this(id, 1, "address of " + id, log);
    }

    /** Creates a process of a node. */
    LeaseTestNode(String id, int startNumber, String address, FakeKeyedLog log) {
        this.id = id;
        this.startNumber = startNumber;
        LeaseRecord self = new LeaseRecord(id, incarnation(), address, 0, 0, 0, false);
        lease = new HolderLease(
                "lease",
                self,
                LeaseTimings.withOrderGap(3_000),
                log,
                (delay, task) -> tasks.add(new Task(steadyMillis + delay, task)),
                new NodeClocks(),
                new NodeListener());
    }

    String incarnation() {
        return id + "/" + startNumber;
    }

    void start() {
        lease.start();
    }

    long now() {
        return steadyMillis;
    }

    /** Advances the clocks and runs the tasks that are due, unless the node is frozen. */
    void advance(long millis) {
        advanceClocks(millis);
        if (frozen) {
            return;
        }
        List<Task> due =
                tasks.stream().filter(task -> task.atMillis() <= steadyMillis).toList();
        tasks.removeAll(due);
        due.forEach(task -> task.action().run());
    }

    void advanceClocks(long millis) {
        steadyMillis += millis;
        wallMillis += millis;
    }

    /** Advances only the wall clock, as in a suspended VM. */
    void suspend(long millis) {
        wallMillis += millis;
    }

    private final class NodeClocks implements LeaseClocks {
        @Override
        public long steadyMillis() {
            return steadyMillis;
        }

        @Override
        public long wallMillis() {
            return wallMillis;
        }
    }

    private final class NodeListener implements HolderLeaseListener {
        @Override
        public void claimed(long fencingNumber) {
            claimCount++;
            expired = false;
        }

        @Override
        public void expired() {
            expired = true;
        }

        @Override
        public void lost(String reason) {
            expired = false;
        }

        @Override
        public void holderFound(LeaseRecord holder) {
            followedHolder = holder.holder();
        }

        @Override
        public boolean isHolderResponding() {
            return false;
        }

        @Override
        public boolean reachesTargets() {
            return reachesTargets;
        }
    }
}
