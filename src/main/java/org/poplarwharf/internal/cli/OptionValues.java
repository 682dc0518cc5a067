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
 * The option values of one command run, with typed access.
 *
 * <p>Invariant: reading an invalid value records an error and returns a valid placeholder, so that {@link
 * #throwIfInvalid} can report all errors in one failure. Not thread-safe.
 */
public final class OptionValues {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(ms|s|m)");
    private static final Pattern ADDRESS = Pattern.compile("([^:\\s]+|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final String PLACEHOLDER_ADDRESS = "127.0.0.1:0";

    private final Map<String, String> values;
    private final Map<String, String> variables;
    private final List<String> operands;
    private final List<String> errors = new ArrayList<>();

    /**
     * Creates the option values of one run.
     *
     * @param variables environment variable of each flag whose value was read from the environment; error messages name
     *     the variable instead of the flag
     */
    OptionValues(Map<String, String> values, List<String> operands, Map<String, String> variables) {
        this.values = Map.copyOf(values);
        this.variables = Map.copyOf(variables);
        this.operands = List.copyOf(operands);
    }

    /** Returns the positional arguments. */
    public List<String> operands() {
        return operands;
    }

    /** Returns the text of an optional flag, if it is set and not blank. */
    public Optional<String> optionalText(String flag) {
        return Optional.ofNullable(values.get(flag)).filter(value -> !value.isBlank());
    }

    /** Returns the text of a required flag. */
    public String text(String flag) {
        Optional<String> value = optionalText(flag);
        if (value.isEmpty()) {
            addError(flag, "must be given");
        }
        return value.orElse("");
    }

    /** Returns whether a switch is set. */
    public boolean isSet(String flag) {
        return "true".equalsIgnoreCase(values.getOrDefault(flag, "false"));
    }

    /** Returns a duration in milliseconds. */
    public long durationMillis(String flag) {
        String value = text(flag);
        Matcher matcher = DURATION.matcher(value);
        if (!matcher.matches()) {
            addErrorUnlessEmpty(flag, value, "is not a duration; write 500ms, 3s or 2m");
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

    /** Returns a comma-separated list of addresses, which may be empty. */
    public List<String> addresses(String flag) {
        return list(flag).stream().map(value -> address(flag, value)).toList();
    }

    /** Returns a comma-separated list of texts, which may be empty. */
    public List<String> list(String flag) {
        String value = values.getOrDefault(flag, "");
        return Arrays.stream(value.split(","))
                .map(String::strip)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    /** Returns an integer between {@code min} and {@code max}, both inclusive. */
    public int integer(String flag, int min, int max) {
        String value = text(flag);
        try {
            int number = Integer.parseInt(value);
            if (number >= min && number <= max) {
                return number;
            }
            addError(flag, "'" + value + "' is outside " + min + " to " + max);
        } catch (NumberFormatException e) {
            addErrorUnlessEmpty(flag, value, "is not a whole number");
        }
        return min;
    }

    /** Returns a finite number greater than zero. */
    public double positiveNumber(String flag) {
        String value = text(flag);
        try {
            double number = Double.parseDouble(value);
            if (number > 0 && Double.isFinite(number)) {
                return number;
            }
            addError(flag, "'" + value + "' is not above zero");
        } catch (NumberFormatException e) {
            addErrorUnlessEmpty(flag, value, "is not a number");
        }
        return 1;
    }

    /** Records an error for a flag unless the condition holds. */
    public void require(boolean condition, String flag, String error) {
        if (!condition) {
            addError(flag, error);
        }
    }

    /** Throws one {@code settings-invalid} failure with all recorded errors, if there are any. */
    public void throwIfInvalid() {
        if (!errors.isEmpty()) {
            throw Reporter.settingsInvalid(errors);
        }
    }

    /** Returns whether an error has been recorded. */
    boolean hasErrors() {
        return !errors.isEmpty();
    }

    private String address(String flag, String value) {
        Matcher matcher = ADDRESS.matcher(value);
        if (matcher.matches() && Integer.parseInt(matcher.group(2)) <= MAX_PORT) {
            return value;
        }
        addErrorUnlessEmpty(flag, value, "is not an address; write host:port");
        return PLACEHOLDER_ADDRESS;
    }

    private void addErrorUnlessEmpty(String flag, String value, String error) {
        if (!value.isEmpty()) {
            addError(flag, "'" + value + "' " + error);
        }
    }

    private void addError(String flag, String error) {
        String name = variables.getOrDefault(flag, "--" + flag);
        errors.add(name + ": " + error + ".");
    }
}
