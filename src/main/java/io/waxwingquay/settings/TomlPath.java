package io.waxwingquay.settings;

/**
 * The position of a key in a document: in the root table or in the n-th table of an array such as
 * {@code [[models]]}.
 *
 * @param array the array's name, or empty for the root table.
 * @param index the table's index within the array, from 0.
 * @param withKey the key, or empty for the table itself.
 */
record TomlPath(String array, int index, String withKey) {

    static final TomlPath ROOT = new TomlPath("", 0, "");

    TomlPath withKey(String name) {
        return new TomlPath(array, index, name);
    }

    TomlPath table(String name, int number) {
        return new TomlPath(array.isEmpty() ? name : array + "." + name, number, "");
    }
}
