/**
 * The adapter to the platform that a fleet runs on: names, formats and calls. Nothing here decides.
 *
 * <p>Each name on the wire is decoded once, in the class that the table gives, into the project's own type.
 *
 * <table>
 * <caption>From the wire to the project</caption>
 * <tr><th>on the wire</th><th>here</th><th>decoded in</th></tr>
 * <tr><td>machine, node, role</td><td>VM, node</td><td>{@link BootFile}</td></tr>
 * <tr><td>zone</td><td>availability zone</td><td>{@link BootFile}, {@link TargetEntries}</td></tr>
 * <tr><td>server, instance</td><td>target, {@code Target.id}</td><td>{@link TargetEntries}</td></tr>
 * <tr><td>{@code born}</td><td>{@code Target.startedAtMillis}</td><td>{@link TargetEntries}</td></tr>
 * <tr><td>{@code seq} of an entry</td><td>{@code Target.checkIns}</td><td>{@link TargetEntries}</td></tr>
 * <tr><td>{@code seq} of a report</td><td>{@code EngineReport.ordersAccepted}</td><td>{@link EngineCalls}</td></tr>
 * <tr><td>{@code precondition}</td><td>the orders accepted that an order expects</td><td>{@link EngineCalls}</td></tr>
 * <tr><td>{@code coming}</td><td>adapters of a {@code LoadedModel}, as they take places</td>
 * <td>{@link TargetEntries}</td></tr>
 * <tr><td>{@code holder}, {@code fence}</td><td>lease holder, fencing number</td><td>{@link EngineCalls}</td></tr>
 * <tr><td>{@code weightsMb} of a model, of an engine</td><td>{@code ModelSpec.sizeMb}, {@code EngineSpec.memoryMb}</td>
 * <td>{@link PlanDocument}</td></tr>
 * <tr><td>{@code safe}, {@code unsafe}, {@code streaming}, {@code resumable}</td><td>{@code RouteKind}</td>
 * <td>{@link PlanDocument}</td></tr>
 * <tr><td>{@code targetLatencyMs}</td><td>{@code Route.objectiveMillis}</td><td>{@link PlanDocument}</td></tr>
 * <tr><td>{@code maxAttempts}</td><td>{@code Route.maxTargets}</td><td>{@link PlanDocument}</td></tr>
 * <tr><td>request and answer headers</td><td>{@code RequestTraits}, {@code ResponseTraits}</td>
 * <td>{@link WireHeaders}</td></tr>
 * <tr><td>topics, records, offsets</td><td>keyed topics of the platform's log</td><td>{@link PlatformLog}</td></tr>
 * </table>
 */
package org.poplarwharf.internal.platform;
