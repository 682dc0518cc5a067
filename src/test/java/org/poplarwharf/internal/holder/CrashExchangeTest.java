package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.crash.CrashTopic;
import org.poplarwharf.internal.crash.RequestFingerprint;
import org.poplarwharf.internal.crash.Suspect;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.topic.TopicFollower;
import org.poplarwharf.support.FakeKeyedLog;

/** Shares prompt parts that crash targets, at the lease holder. */
class CrashExchangeTest {
    private static final Suspect.PromptPart PART =
            new Suspect.PromptPart(RequestFingerprint.of(List.of("lm"), new byte[0]), "p");

    private final FakeKeyedLog platformLog = new FakeKeyedLog();
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final DecisionLog log = new DecisionLog("n0", "z1", new PrintStream(OutputStream.nullOutputStream()));
    private final CrashHistory history = new CrashHistory();
    private final FakePeers peers = new FakePeers();
    private final TopicFollower.Timer timer = (delayMillis, task) -> tasks.add(task);
    private long nowMillis;
    private final CrashTopic topic = new CrashTopic("crashes", platformLog, timer, log, read -> {});
    private final CrashExchange exchange = new CrashExchange(history, topic, () -> nowMillis, log, peers);

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    private boolean isRefused() {
        return exchange.knownCrashes().stream()
                .anyMatch(crash -> crash.suspect().equals(PART));
    }

    @Test
    void refused_part_stays_refused_when_the_log_has_lost_its_record() {
        exchange.crashesRead(List.of(TargetCrash.ofPromptPart(PART, "t", 1)));
        topic.record(exchange.knownCrashes());
        runTasks();
        platformLog.latestValues().keySet().forEach(topic::onRemoved);

        assertThat(isRefused()).isTrue();
    }

    @Test
    void part_that_was_cleared_is_not_recorded_again_after_a_restore_of_the_log() {
        exchange.crashesRead(List.of(TargetCrash.ofPromptPart(PART, "t", 1)));
        exchange.crashesReported(List.of(TargetCrash.ofPromptPart(PART, "t2", 1)));
        runTasks();
        assertThat(platformLog.latestValues()).isNotEmpty();
        platformLog.restore(0);
        exchange.announced(HolderMessage.TargetCrashes.cleared(PART));
        exchange.recordAgain();
        runTasks();

        assertThat(isRefused()).isFalse();
        assertThat(platformLog.latestValues()).isEmpty();
    }

    private static final class FakePeers implements CrashExchange.Peers {
        private final List<TargetCrash> broadcast = new ArrayList<>();

        @Override
        public boolean isHolding() {
            return true;
        }

        @Override
        public boolean isHolderResponding() {
            return true;
        }

        @Override
        public void broadcast(List<TargetCrash> crashes) {
            broadcast.addAll(crashes);
        }

        @Override
        public void broadcastCleared(Suspect.PromptPart part) {
            // Not checked here.
        }

        @Override
        public void reportToHolder(List<TargetCrash> crashes) {
            throw new UnsupportedOperationException("this node holds the lease");
        }
    }
}
