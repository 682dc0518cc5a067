package org.poplarwharf.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.internal.standin.ServiceCall;

/**
 * Checks the responses that callers received against the journals of the targets.
 *
 * <p>Rules: each request ends by its deadline, with exactly one final response or a lost connection; each response is
 * complete and belongs to its request; no idempotency key ran twice; no request that was refused as not run has run. Not
 * thread-safe.
 */
final class ResponseChecker {
    /** Transfer time from the node to the caller on a busy machine; a node may not spend it on waiting. */
    private static final long RESPONSE_TRANSFER_MILLIS = 500;

    private static final String RAN_NO = "no";

    private final Set<String> startedBodyHashes = new HashSet<>();
    private final Map<String, List<Long>> runTimesByKey = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    enum Rule {
        NO_FINAL_RESPONSE,
        MULTIPLE_FINAL_RESPONSES,
        LATE,
        WRONG_CONTENT,
        TRUNCATED,
        RAN_TWICE,
        RAN_DESPITE_REFUSAL
    }

    record Violation(Rule rule, String subject) {}

    private final long toleranceMillis;

    private ResponseChecker(
            List<Journal.Entry<EngineEvent>> engineEntries,
            List<Journal.Entry<ServiceCall>> serviceEntries,
            long frozenMillis) {
        this.toleranceMillis = RESPONSE_TRANSFER_MILLIS + frozenMillis;
        for (Journal.Entry<EngineEvent> entry : engineEntries) {
            if (entry.event() instanceof EngineEvent.RequestStarted started) {
                startedBodyHashes.add(started.bodyHash());
            }
        }
        for (Journal.Entry<ServiceCall> entry : serviceEntries) {
            entry.event()
                    .idempotencyKey()
                    .ifPresent(key -> runTimesByKey
                            .computeIfAbsent(key, k -> new ArrayList<>())
                            .add(entry.atMillis()));
        }
    }

    /** Returns all violations. The journals must cover all targets. */
    static List<Violation> check(
            List<VerifiableRequest> sent,
            List<CallerResponse> responses,
            List<Journal.Entry<EngineEvent>> engineEntries,
            List<Journal.Entry<ServiceCall>> serviceEntries) {
        return check(sent, responses, engineEntries, serviceEntries, 0);
    }

    /** Returns all violations. Extends the deadlines by the time for which a node was frozen and sent no responses. */
    static List<Violation> check(
            List<VerifiableRequest> sent,
            List<CallerResponse> responses,
            List<Journal.Entry<EngineEvent>> engineEntries,
            List<Journal.Entry<ServiceCall>> serviceEntries,
            long frozenMillis) {
        ResponseChecker checker = new ResponseChecker(engineEntries, serviceEntries, frozenMillis);
        checker.checkResponseCounts(sent, responses);
        responses.forEach(checker::checkResponse);
        checker.checkIdempotencyKeys(responses);
        return List.copyOf(checker.violations);
    }

    private void checkResponseCounts(List<VerifiableRequest> sent, List<CallerResponse> responses) {
        Map<Integer, Integer> counts = new HashMap<>();
        responses.forEach(response -> counts.merge(response.request().number(), 1, Integer::sum));
        for (VerifiableRequest request : sent) {
            int count = counts.getOrDefault(request.number(), 0);
            require(count > 0, Rule.NO_FINAL_RESPONSE, request);
            require(count < 2, Rule.MULTIPLE_FINAL_RESPONSES, request);
        }
    }

    private void checkResponse(CallerResponse response) {
        VerifiableRequest request = response.request();
        boolean connectionLost = response.status() <= CallerResponse.CONNECTION_LOST;
        require(
                connectionLost || response.latencyMillis() <= request.deadlineMillis() + toleranceMillis,
                Rule.LATE,
                response);
        if (response.status() == 200) {
            require(request.expectedText().startsWith(response.text()), Rule.WRONG_CONTENT, response);
            boolean appearsComplete = response.complete() && response.code().isEmpty();
            require(!appearsComplete || request.expectedText().equals(response.text()), Rule.TRUNCATED, response);
        }
        boolean startedAnywhere = request.isCompletion() && startedBodyHashes.contains(request.bodyHash());
        require(!startedAnywhere || !response.ran().equals(RAN_NO), Rule.RAN_DESPITE_REFUSAL, response);
    }

    private void checkIdempotencyKeys(List<CallerResponse> responses) {
        runTimesByKey.forEach((key, runTimes) -> require(runTimes.size() == 1, Rule.RAN_TWICE, key));
        Map<String, List<CallerResponse>> byKey = new HashMap<>();
        for (CallerResponse response : responses) {
            response.request()
                    .idempotencyKey()
                    .ifPresent(key ->
                            byKey.computeIfAbsent(key, k -> new ArrayList<>()).add(response));
        }
        byKey.forEach(this::checkRefusals);
    }

    /**
     * Checks the responses for one key. If the key ran, at least one response must not say "not run", and no response to a
     * request sent after the run may say so.
     */
    private void checkRefusals(String key, List<CallerResponse> responses) {
        List<Long> runTimes = runTimesByKey.getOrDefault(key, List.of());
        boolean allRefused =
                responses.stream().allMatch(response -> response.ran().equals(RAN_NO));
        require(runTimes.isEmpty() || !allRefused, Rule.RAN_DESPITE_REFUSAL, responses);
        for (CallerResponse response : responses) {
            boolean ranBeforeSending = runTimes.stream().anyMatch(run -> run < response.sentAtMillis());
            require(!ranBeforeSending || !response.ran().equals(RAN_NO), Rule.RAN_DESPITE_REFUSAL, response);
            require(!response.isSuccessful() || !runTimes.isEmpty(), Rule.WRONG_CONTENT, response);
        }
    }

    private void require(boolean condition, Rule rule, Object subject) {
        if (!condition) {
            violations.add(new Violation(rule, subject.toString()));
        }
    }
}
