package org.poplarwharf.internal.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.poplarwharf.internal.failure.Reporter;

/**
 * The values of a command's options, read by type.
 *
 * <p>Invariant: a bad value is kept as a fault, and the reader goes on with a harmless value, until {@link #check}
 * raises all faults at once. Not thread-safe.
 */
public final class OptionValues {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(ms|s|m)");
    private static final Pattern ADDRESS = Pattern.compile("([^:\\s]+|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int HIGHEST_PORT = 65_535;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final String HARMLESS_ADDRESS = "127.0.0.1:0";

    private final Map<String, String> values;
    private final Map<String, String> variables;
    private final List<String> operands;
    private final List<String> faults = new ArrayList<>();

    /**
     * Creates the values of one run.
     *
     * @param variables the environment variable of each flag whose value came from there; faults name it
     */
    OptionValues(Map<String, String> values, List<String> operands, Map<String, String> variables) {
        this.values = Map.copyOf(values);
        this.variables = Map.copyOf(variables);
        this.operands = List.copyOf(operands);
    }

    /** Returns the arguments behind the options. */
    public List<String> operands() {
        return operands;
    }

    /** Returns a text, if it was given. */
    public Optional<String> optionalText(String flag) {
        return Optional.ofNullable(values.get(flag)).filter(value -> !value.isBlank());
    }

    /** Returns a text that must be given. */
    public String text(String flag) {
        Optional<String> value = optionalText(flag);
        if (value.isEmpty()) {
            fault(flag, "must be given");
        }
        return value.orElse("");
    }

    /** Tells whether a switch was given. */
    public boolean isSet(String flag) {
        return "true".equalsIgnoreCase(values.getOrDefault(flag, "false"));
    }

    /** Returns a duration in milliseconds. */
    public long durationMillis(String flag) {
        String value = text(flag);
        Matcher matcher = DURATION.matcher(value);
        if (!matcher.matches()) {
            faultUnlessMissing(flag, value, "is not a duration; write 500ms, 3s or 2m");
            return 0;
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "m" -> number * MILLIS_PER_MINUTE;
            case "s" -> number * MILLIS_PER_SECOND;
            default -> number;
        };
    }

    /** Returns an address of the form {@code host:port}. */
    public String address(String flag) {
        return address(flag, text(flag));
    }

    /** Returns a list of addresses, which may be empty. */
    public List<String> addresses(String flag) {
        return list(flag).stream().map(value -> address(flag, value)).toList();
    }

    /** Returns a list of texts, which may be empty. */
    public List<String> list(String flag) {
        String value = values.getOrDefault(flag, "");
        return Arrays.stream(value.split(","))
                .map(String::strip)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    /** Returns a whole number within bounds. */
    public int integer(String flag, int least, int most) {
        String value = text(flag);
        try {
            int number = Integer.parseInt(value);
            if (number >= least && number <= most) {
                return number;
            }
            fault(flag, "'" + value + "' is outside " + least + " to " + most);
        } catch (NumberFormatException e) {
            faultUnlessMissing(flag, value, "is not a whole number");
        }
        return least;
    }

    /** Returns a number above zero. */
    public double positiveNumber(String flag) {
        String value = text(flag);
        try {
            double number = Double.parseDouble(value);
            if (number > 0 && Double.isFinite(number)) {
                return number;
            }
            fault(flag, "'" + value + "' is not above zero");
        } catch (NumberFormatException e) {
            faultUnlessMissing(flag, value, "is not a number");
        }
        return 1;
    }

    /** Keeps a fault unless the condition holds. */
    public void require(boolean condition, String flag, String fault) {
        if (!condition) {
            fault(flag, fault);
        }
    }

    /** Raises every fault that was found as one {@code settings-invalid} failure. */
    public void check() {
        if (!faults.isEmpty()) {
            throw Reporter.settingsInvalid(faults);
        }
    }

    /** Tells whether a value was faulty so far. */
    boolean faulty() {
        return !faults.isEmpty();
    }

    private String address(String flag, String value) {
        Matcher matcher = ADDRESS.matcher(value);
        if (matcher.matches() && Integer.parseInt(matcher.group(2)) <= HIGHEST_PORT) {
            return value;
        }
        faultUnlessMissing(flag, value, "is not an address; write host:port");
        return HARMLESS_ADDRESS;
    }

    private void faultUnlessMissing(String flag, String value, String fault) {
        if (!value.isEmpty()) {
            fault(flag, "'" + value + "' " + fault);
        }
    }

    private void fault(String flag, String fault) {
        String name = variables.getOrDefault(flag, "--" + flag);
        faults.add(name + ": " + fault + ".");
    }
}
