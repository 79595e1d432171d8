package io.fireflywalk.daemon.ingress;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Fields of a log line that are formatted only if the line is written, because most lines are left out under load and
 * formatting takes longer than the decision that it describes. Confined to one event loop.
 */
final class LogFields {
    private final List<Supplier<String>> fields = new ArrayList<>();

    /** Removes all fields, and adds those of a new decision. */
    void replace(Supplier<String> decision) {
        fields.clear();
        fields.add(decision);
    }

    /** Adds fields; the values that they show must have been taken before. */
    void add(Supplier<String> more) {
        fields.add(more);
    }

    /** Formats the fields, separated by spaces. */
    String format() {
        return fields.stream().map(Supplier::get).collect(Collectors.joining(" "));
    }
}
