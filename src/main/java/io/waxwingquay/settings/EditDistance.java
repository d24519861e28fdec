package io.waxwingquay.settings;

/**
 * Computes the Levenshtein distance between two words, from which similar keys are suggested for an unknown one.
 */
final class EditDistance {

    private EditDistance() {}

    static int between(String left, String right) {
        int[] previous = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            previous = nextRow(left.charAt(row - 1), row, right, previous);
        }
        return previous[right.length()];
    }

    private static int[] nextRow(char letter, int row, String right, int[] previous) {
        int[] current = new int[right.length() + 1];
        current[0] = row;
        for (int column = 1; column <= right.length(); column++) {
            int substitutionCost = previous[column - 1] + (letter == right.charAt(column - 1) ? 0 : 1);
            current[column] = Math.min(substitutionCost, Math.min(previous[column], current[column - 1]) + 1);
        }
        return current;
    }
}
