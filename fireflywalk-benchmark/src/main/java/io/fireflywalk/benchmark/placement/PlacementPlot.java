package io.fireflywalk.benchmark.placement;

import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** SVG plot of the part of good answers over time, of the first seed, and of the number of targets in the day. */
final class PlacementPlot {
    private static final int WIDTH = 900;
    private static final int PANEL_HEIGHT = 200;
    private static final int MARGIN = 60;
    private static final List<String> COLORS = List.of("#4477aa", "#228833", "#cc3311", "#aa3377");

    private PlacementPlot() {}

    static String of(List<TrialResult> results) {
        long seed = results.get(0).seed();
        List<TrialResult> first =
                results.stream().filter(result -> result.seed() == seed).toList();
        List<TrialResult> shifts = ofScenario(first, "shifts");
        List<TrialResult> day = ofScenario(first, "day");
        StringBuilder svg = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"12\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH + 2 * MARGIN,
                3 * (PANEL_HEIGHT + MARGIN) + MARGIN));
        panel(svg, 0, "shifts: good answers / requests by arrival", shifts, TrialResult::goodFractions, 1);
        panel(svg, 1, "day with zone loss: good answers / requests by arrival", day, TrialResult::goodFractions, 1);
        double most = day.stream()
                .flatMap(result -> result.targets().stream())
                .mapToInt(Integer::intValue)
                .max()
                .orElse(1);
        panel(
                svg,
                2,
                "day with zone loss: targets",
                day,
                result -> result.targets().stream().map(Integer::doubleValue).toList(),
                most);
        return svg.append("</svg>\n").toString();
    }

    private static List<TrialResult> ofScenario(List<TrialResult> results, String scenario) {
        return results.stream()
                .filter(result -> result.scenario().equals(scenario))
                .toList();
    }

    private static void panel(
            StringBuilder svg,
            int index,
            String title,
            List<TrialResult> results,
            Function<TrialResult, List<Double>> series,
            double most) {
        int top = MARGIN + index * (PANEL_HEIGHT + MARGIN);
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\">%s</text>%n<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\""
                        + " stroke=\"#888\"/>%n<text x=\"8\" y=\"%d\">%.3g</text>%n<text x=\"8\" y=\"%d\">0</text>%n",
                MARGIN,
                top - 8,
                title,
                MARGIN,
                top,
                WIDTH,
                PANEL_HEIGHT,
                top + 12,
                most,
                top + PANEL_HEIGHT));
        for (int line = 0; line < results.size(); line++) {
            List<Double> values = series.apply(results.get(line));
            StringBuilder points = new StringBuilder();
            for (int at = 0; at < values.size(); at++) {
                points.append(String.format(
                        Locale.ROOT,
                        "%.1f,%.1f ",
                        MARGIN + WIDTH * at / (double) Math.max(1, values.size() - 1),
                        top + PANEL_HEIGHT * (1 - values.get(at) / most)));
            }
            String color = COLORS.get(line % COLORS.size());
            svg.append(String.format(
                    Locale.ROOT,
                    "<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>%n<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
                    color,
                    points.toString().trim(),
                    MARGIN + 8 + line * 150,
                    top + PANEL_HEIGHT + 16,
                    color,
                    results.get(line).policy()));
        }
    }
}
