package io.fireflywalk.benchmark.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Values of one metric over all seeds, printed as median and range. Confined to one thread. */
final class Samples {
    private final List<Double> values = new ArrayList<>();

    void add(double value) {
        values.add(value);
    }

    double median() {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        int middle = sorted.size() / 2;
        return sorted.size() % 2 == 1 ? sorted.get(middle) : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
    }

    List<Double> values() {
        return values;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "median %.3f, %.3f to %.3f", median(), Collections.min(values), Collections.max(values));
    }
}
