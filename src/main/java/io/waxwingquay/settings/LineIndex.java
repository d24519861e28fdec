package io.waxwingquay.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line of a key, which the TOML library doesn't keep. Inline tables and text that looks like a key
 * inside a multi-line string may be missed; the line is then told as unknown or as that of the table.
 */
final class LineIndex {

    private static final Pattern HEADER = Pattern.compile("^\\s*\\[\\[?\\s*([\\w.-]+)\\s*]]?\\s*(#.*)?$");
    private static final Pattern KEY = Pattern.compile("^\\s*\"?([\\w.-]+)\"?\\s*=.*$");

    private final Map<TomlPath, Integer> lines = new HashMap<>();

    private LineIndex() {}

    static LineIndex of(String text) {
        LineIndex index = new LineIndex();
        Map<String, Integer> counts = new HashMap<>();
        TomlPath table = TomlPath.ROOT;
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher header = HEADER.matcher(line);
            if (header.matches()) {
                String name = header.group(1);
                table = new TomlPath(name, counts.merge(name, 1, Integer::sum) - 1, "");
                index.lines.putIfAbsent(table, number);
                continue;
            }
            Matcher key = KEY.matcher(line);
            if (key.matches()) {
                index.lines.putIfAbsent(table.withKey(key.group(1)), number);
            }
        }
        return index;
    }

    OptionalInt lineOf(TomlPath path) {
        Integer line = lines.getOrDefault(path, lines.get(path.withKey("")));
        return line == null ? OptionalInt.empty() : OptionalInt.of(line);
    }
}
