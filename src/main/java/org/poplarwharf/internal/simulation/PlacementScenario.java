package org.poplarwharf.internal.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A deployment with more models than its targets can hold, and the requests to it. A few busy models take turns in
 * receiving most of the requests; the others are requested rarely, and their responses have a high value. Immutable
 * and thread-safe.
 *
 * @param seed determines arrivals, models and copies
 * @param targetCount the number of engines
 * @param modelsPerTarget the number of models that fit into an engine's memory
 * @param memoryCopies the number of copies of weights that an engine keeps in main memory
 * @param diskCopies the number of copies of weights that an engine keeps on disk
 * @param busyModelCount the number of models that take turns in receiving most of the requests
 * @param rareModelCount the number of models that are requested rarely
 * @param storeLoadsPerSecond the rate at which the weight store lets loads begin
 * @param storeFullSpeedLoads the number of concurrent loads that the store serves at full speed
 * @param storeLoadMillis the duration of a load from the store at full speed
 * @param shiftsMillis the times at which one of the busy models is replaced by the next one
 * @param crashesMillis the times at which the target crashes that holds most copies of busy models
 */
public record PlacementScenario(
        long seed,
        long durationMillis,
        int targetCount,
        int modelsPerTarget,
        int memoryCopies,
        int diskCopies,
        int busyModelCount,
        int rareModelCount,
        double storeLoadsPerSecond,
        int storeFullSpeedLoads,
        long storeLoadMillis,
        List<CallerClass> classes,
        List<Long> shiftsMillis,
        List<Long> crashesMillis) {

    /** The number of busy models that are requested at the same time. */
    private static final int CONCURRENT_BUSY_COUNT = 2;

    /** The share of the requests for busy models that go to the first one. */
    private static final double FIRST_BUSY_SHARE = 0.65;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Requests with the same requirements.
     *
     * @param priority priority among all classes; zero is the highest
     * @param firstEventLimitMillis how long a caller waits for the first event of one attempt
     * @param deadlineMillis how long a caller waits in all, over its attempts
     * @param worth the value of a response whose first event arrives within the objective
     * @param lateWorth the value of a later response
     */
    public record CallerClass(
            String name,
            double requestsPerSecond,
            boolean wantsBusyModel,
            int priority,
            long objectiveMillis,
            long firstEventLimitMillis,
            long deadlineMillis,
            long runMillis,
            double worth,
            double lateWorth) {}

    /** A caller that wants one response. */
    record Caller(int id, CallerClass callerClass, String model, long arrivalMillis) {}

    private static final List<CallerClass> CLASSES = List.of(
            new CallerClass("routine", 22, true, 2, 300, 2_000, 12_000, 1_400, 1.9, 0.94),
            new CallerClass("short", 18, true, 0, 1_000, 4_000, 4_000, 300, 2, 1),
            new CallerClass("rare", 5, false, 1, 3_000, 12_000, 25_000, 1_400, 17, 2.5));

    private static final List<CallerClass> SCARCE_STORE_CLASSES = List.of(
            new CallerClass("routine", 40, true, 1, 600, 5_000, 5_000, 1_400, 2.1, 0.62),
            new CallerClass("rare", 25, false, 2, 5_000, 11_000, 22_000, 1_400, 9.9, 2.3));

    /** Returns a calm period: demand stays with the same models and no target fails. */
    public static PlacementScenario calm(long seed) {
        return withEvents(seed, List.of(), List.of());
    }

    /** Returns a period in which demand moves to other models twice and three targets crash, two of them at once. */
    public static PlacementScenario disturbed(long seed) {
        return withEvents(seed, List.of(14_000L, 24_000L), List.of(8_140L, 8_141L, 25_900L));
    }

    /**
     * Returns a period with many rarely requested models, a tenth of which no target has a copy of at first, and a store
     * that serves one or two loads at a time. A sixth of the targets crash, most of them at the same moment, and come back
     * empty; demand moves once.
     */
    public static PlacementScenario scarceStore(long seed) {
        Random random = new Random(seed);
        long crashMillis = 5_000 + random.nextInt(5_000);
        return new PlacementScenario(
                seed,
                60_000,
                24,
                3,
                2,
                12,
                5,
                85,
                19,
                1 + random.nextInt(2),
                10_000,
                SCARCE_STORE_CLASSES,
                List.of(15_000L + random.nextInt(10_000)),
                List.of(crashMillis, crashMillis + 1, crashMillis + 2, crashMillis + 20_000));
    }

    private static PlacementScenario withEvents(long seed, List<Long> shifts, List<Long> crashes) {
        return new PlacementScenario(seed, 50_000, 6, 3, 2, 12, 5, 25, 1.9, 4, 6_000, CLASSES, shifts, crashes);
    }

    /** Returns the names of all models, the busy ones first. */
    List<String> models() {
        List<String> names = new ArrayList<>();
        IntStream.range(0, busyModelCount).forEach(i -> names.add("busy-" + i));
        IntStream.range(0, rareModelCount).forEach(i -> names.add("rare-" + i));
        return names;
    }

    /** Returns the busy models that are requested at a time, the one with most requests first. */
    List<String> requestedBusyModels(long atMillis) {
        int shiftCount =
                (int) shiftsMillis.stream().filter(shift -> shift <= atMillis).count();
        return IntStream.range(0, CONCURRENT_BUSY_COUNT)
                .mapToObj(i -> "busy-" + (shiftCount + i) % busyModelCount)
                .toList();
    }

    /** Returns all callers in the order of their arrival. */
    List<Caller> callers() {
        Random random = new Random(seed);
        double totalPerSecond =
                classes.stream().mapToDouble(CallerClass::requestsPerSecond).sum();
        List<Caller> callers = new ArrayList<>();
        double atMillis = 0;
        while (true) {
            atMillis -= Math.log(1 - random.nextDouble()) / totalPerSecond * MILLIS_PER_SECOND;
            if (atMillis >= durationMillis) {
                return callers;
            }
            CallerClass callerClass = drawClass(random.nextDouble() * totalPerSecond);
            String model = callerClass.wantsBusyModel()
                    ? requestedBusyModels((long) atMillis).get(random.nextDouble() < FIRST_BUSY_SHARE ? 0 : 1)
                    : "rare-" + random.nextInt(rareModelCount);
            callers.add(new Caller(callers.size(), callerClass, model, (long) atMillis));
        }
    }

    private CallerClass drawClass(double position) {
        double remaining = position;
        for (CallerClass callerClass : classes) {
            remaining -= callerClass.requestsPerSecond();
            if (remaining < 0) {
                return callerClass;
            }
        }
        return classes.get(classes.size() - 1);
    }
}
