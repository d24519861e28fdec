package io.waxwingquay.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps keys of a document to their line numbers, which the TOML library doesn't keep. Keys of inline tables are not
 * found, and text inside a multi-line string that looks like a key can be mistaken for one; the reported line is then
 * unknown or that of the table.
 */
final class LineIndex {

    private static final Pattern TABLE_HEADER = Pattern.compile("^\\s*\\[\\[?\\s*([\\w.-]+)\\s*]]?\\s*(#.*)?$");
    private static final Pattern KEY = Pattern.compile("^\\s*\"?([\\w.-]+)\"?\\s*=.*$");

    private final Map<TomlPath, Integer> lineNumbers = new HashMap<>();

    private LineIndex() {}

    static LineIndex of(String text) {
        LineIndex index = new LineIndex();
        Map<String, Integer> tableCounts = new HashMap<>();
        TomlPath table = TomlPath.ROOT;
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            lineNumber++;
            Matcher header = TABLE_HEADER.matcher(line);
            if (header.matches()) {
                String name = header.group(1);
                table = new TomlPath(name, tableCounts.merge(name, 1, Integer::sum) - 1, "");
                index.lineNumbers.putIfAbsent(table, lineNumber);
                continue;
            }
            Matcher key = KEY.matcher(line);
            if (key.matches()) {
                index.lineNumbers.putIfAbsent(table.withKey(key.group(1)), lineNumber);
            }
        }
        return index;
    }

    OptionalInt lineOf(TomlPath path) {
        Integer line = lineNumbers.getOrDefault(path, lineNumbers.get(path.withKey("")));
        return line == null ? OptionalInt.empty() : OptionalInt.of(line);
    }
}
