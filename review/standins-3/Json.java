import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays are lists, numbers are doubles or longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json parser = new Json(text);
        return parser.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            space();
            while (text.charAt(at) != '}') {
                String key = string();
                space();
                at++;
                map.put(key, value());
                space();
                if (text.charAt(at) == ',') {
                    at++;
                    space();
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            space();
            while (text.charAt(at) != ']') {
                list.add(value());
                space();
                if (text.charAt(at) == ',') {
                    at++;
                    space();
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && "{}[],: \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> c = '\n';
                    case 't' -> c = '\t';
                    case 'r' -> c = '\r';
                    case 'u' -> {
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    }
                    default -> { }
                }
            }
            result.append(c);
        }
        at++;
        return result.toString();
    }

    static String quote(String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
