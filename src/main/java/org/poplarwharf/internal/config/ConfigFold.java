package org.poplarwharf.internal.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.poplarwharf.internal.config.ConfigMerger.MergeResult;
import org.poplarwharf.internal.config.ConfigRecord.ChangeProposed;
import org.poplarwharf.internal.config.ConfigRecord.ConfigCheckpoint;
import org.poplarwharf.internal.config.ConfigRecord.FileChange;
import org.poplarwharf.internal.config.ConfigRecord.FileVersion;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.log.Fold;
import org.poplarwharf.internal.log.RecordStream.ApplyResult;

/**
 * Folds the records of the configuration stream into the accepted configuration.
 *
 * <p>Invariants: whether a change is accepted depends only on the order of the log; the version is the offset of the
 * last accepted change and never decreases; a change id is decided once. Confined to one thread.
 */
public final class ConfigFold implements Fold<ConfigRecord> {
    static final long NO_VERSION = -1;

    private static final int MAX_REMEMBERED_CHANGE_IDS = 1_000;

    private final LinkedHashSet<String> changeIds = new LinkedHashSet<>();
    private TreeMap<String, FileVersion> files = new TreeMap<>();
    private FleetConfig config = FleetConfig.EMPTY;

    /** Returns the merged configuration. */
    public FleetConfig config() {
        return config;
    }

    /** Returns the accepted files, sorted by name. */
    public List<FileVersion> files() {
        return List.copyOf(files.values());
    }

    /** Returns the version of a file, or -1 if the file does not exist. */
    public long versionOf(String file) {
        FileVersion known = files.get(file);
        return known == null ? NO_VERSION : known.version();
    }

    @Override
    public ApplyResult apply(long offset, ConfigRecord record) {
        return switch (record) {
            case ChangeProposed change -> decide(offset, change);
            case ConfigCheckpoint checkpoint -> new ApplyResult(offset, true, "");
        };
    }

    private ApplyResult decide(long offset, ChangeProposed change) {
        if (changeIds.contains(change.changeId())) {
            return rejected(offset, "change " + change.changeId() + " was already decided");
        }
        rememberChangeId(change.changeId());
        List<String> conflicts = findConflicts(change);
        if (!conflicts.isEmpty()) {
            return rejected(offset, String.join("; ", conflicts));
        }
        TreeMap<String, FileVersion> next = withChange(offset, change);
        MergeResult merged = merge(offset, next);
        List<String> reasons = new ArrayList<>(merged.errorLines());
        if (reasons.isEmpty()) {
            reasons.addAll(ImmutableConfigRules.violations(config, merged.config()));
        }
        if (!reasons.isEmpty()) {
            return rejected(offset, String.join("; ", reasons));
        }
        files = next;
        config = merged.config();
        return new ApplyResult(offset, true, "");
    }

    private List<String> findConflicts(ChangeProposed change) {
        List<String> conflicts = new ArrayList<>();
        if (change.files().isEmpty()) {
            conflicts.add("the change names no file");
        }
        Set<String> names = new HashSet<>();
        for (FileChange file : change.files()) {
            if (!ConfigNames.isValidFileName(file.name())) {
                conflicts.add("'" + file.name() + "' is not the name of a configuration file");
            } else if (!names.add(file.name())) {
                conflicts.add(file.name() + " is named twice");
            } else if (versionOf(file.name()) != file.replacesVersion()) {
                conflicts.add(describeConflict(file));
            }
        }
        return conflicts;
    }

    private String describeConflict(FileChange file) {
        FileVersion accepted = files.get(file.name());
        if (accepted == null) {
            return file.name() + " of version " + file.replacesVersion() + " was removed by another change";
        }
        return file.name() + " is at version " + accepted.version() + ", published by "
                + (accepted.operator().isEmpty() ? "an unknown operator" : accepted.operator()) + ", not at "
                + (file.replacesVersion() == NO_VERSION ? "none" : file.replacesVersion());
    }

    private TreeMap<String, FileVersion> withChange(long offset, ChangeProposed change) {
        TreeMap<String, FileVersion> next = new TreeMap<>(files);
        for (FileChange file : change.files()) {
            Optional<String> content = file.content();
            if (content.isPresent()) {
                next.put(file.name(), new FileVersion(file.name(), offset, content.get(), change.operator()));
            } else {
                next.remove(file.name());
            }
        }
        return next;
    }

    private static MergeResult merge(long version, TreeMap<String, FileVersion> files) {
        TreeMap<String, String> contents = new TreeMap<>();
        files.forEach((name, file) -> contents.put(name, file.content()));
        return ConfigMerger.merge(version, contents);
    }

    private void rememberChangeId(String changeId) {
        changeIds.add(changeId);
        if (changeIds.size() > MAX_REMEMBERED_CHANGE_IDS) {
            changeIds.remove(changeIds.iterator().next());
        }
    }

    private static ApplyResult rejected(long offset, String reason) {
        return new ApplyResult(offset, false, reason);
    }

    @Override
    public ConfigRecord createCheckpoint(long throughOffset, byte[] writers) {
        return new ConfigCheckpoint(throughOffset, files(), config.version(), List.copyOf(changeIds), writers);
    }

    @Override
    public OptionalLong checkpointOffset(ConfigRecord record) {
        return record instanceof ConfigCheckpoint checkpoint
                ? OptionalLong.of(checkpoint.throughOffset())
                : OptionalLong.empty();
    }

    @Override
    public byte[] restore(ConfigRecord record) {
        if (!(record instanceof ConfigCheckpoint checkpoint) || checkpoint.version() < config.version()) {
            throw Reporter.malformedMessage("a checkpoint of the configuration", null);
        }
        TreeMap<String, FileVersion> restored = new TreeMap<>();
        checkpoint.files().forEach(file -> restored.put(file.name(), file));
        MergeResult merged = merge(checkpoint.version(), restored);
        if (!merged.errors().isEmpty()) {
            throw Reporter.malformedMessage("a checkpoint of the configuration", null);
        }
        files = restored;
        config = merged.config();
        changeIds.clear();
        checkpoint.recentChangeIds().forEach(this::rememberChangeId);
        return checkpoint.writers();
    }
}
