package io.fireflywalk.benchmark.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Line plot as an SVG document. Confined to one thread. */
final class SvgPlot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int MARGIN = 60;
    private static final String[] COLOURS = {
        "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b", "#555555", "#16a085", "#d35400", "#7f8c8d"
    };

    private final String title;
    private final String horizontalLabel;
    private final String verticalLabel;
    private final List<Line> lines = new ArrayList<>();

    SvgPlot(String title, String horizontalLabel, String verticalLabel) {
        this.title = title;
        this.horizontalLabel = horizontalLabel;
        this.verticalLabel = verticalLabel;
    }

    SvgPlot line(String name, double[] horizontal, double[] vertical) {
        lines.add(new Line(name, horizontal.clone(), vertical.clone()));
        return this;
    }

    String render() {
        double maximumX = 1e-9;
        double maximumY = 1e-9;
        for (Line line : lines) {
            for (int i = 0; i < line.vertical.length; i++) {
                maximumX = Math.max(maximumX, line.horizontal[i]);
                maximumY = Math.max(maximumY, line.vertical[i]);
            }
        }
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"12\"><rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH,
                HEIGHT));
        text(svg, MARGIN, 20, title);
        text(svg, WIDTH / 2, HEIGHT - 8, horizontalLabel);
        text(svg, 4, 38, verticalLabel);
        for (int i = 0; i <= 4; i++) {
            double vertical = HEIGHT - MARGIN - i * (HEIGHT - 2.0 * MARGIN) / 4;
            double horizontal = MARGIN + i * (WIDTH - 2.0 * MARGIN) / 4;
            text(svg, 4, vertical, String.format(Locale.ROOT, "%.3g", maximumY * i / 4));
            text(svg, horizontal, HEIGHT - MARGIN + 18, String.format(Locale.ROOT, "%.4g", maximumX * i / 4));
        }
        for (int i = 0; i < lines.size(); i++) {
            String colour = COLOURS[i % COLOURS.length];
            svg.append("<polyline fill=\"none\" stroke=\"").append(colour).append("\" points=\"");
            Line line = lines.get(i);
            for (int point = 0; point < line.vertical.length; point++) {
                svg.append(String.format(
                        Locale.ROOT,
                        "%.1f,%.1f ",
                        MARGIN + line.horizontal[point] / maximumX * (WIDTH - 2.0 * MARGIN),
                        HEIGHT - MARGIN - line.vertical[point] / maximumY * (HEIGHT - 2.0 * MARGIN)));
            }
            svg.append("\"/>\n<g fill=\"").append(colour).append("\">");
            text(svg, WIDTH - 3.0 * MARGIN, 20 + 14.0 * i, line.name);
            svg.append("</g>\n");
        }
        return svg.append("</svg>\n").toString();
    }

    private static void text(StringBuilder svg, double horizontal, double vertical, String content) {
        svg.append(
                String.format(Locale.ROOT, "<text x=\"%.0f\" y=\"%.0f\">%s</text>%n", horizontal, vertical, content));
    }

    private static final class Line {
        private final String name;
        private final double[] horizontal;
        private final double[] vertical;

        Line(String name, double[] horizontal, double[] vertical) {
            this.name = name;
            this.horizontal = horizontal;
            this.vertical = vertical;
        }
    }
}
