package io.waxwingquay.settings;

import java.util.OptionalInt;

/**
 * One fault in a TOML document, told so that its author can mend it.
 *
 * @param element the key or element at fault, such as {@code thrift_port} or {@code models[3] 'quench'.size_bytes}.
 * @param line the line in the document, where it is known.
 * @param message what is wrong and how to mend it.
 */
public record Problem(String element, OptionalInt line, String message) {

    /** {@inheritDoc} */
    @Override
    public String toString() {
        String place = line.isPresent() ? "line " + line.getAsInt() + ": " : "";
        return place + element + ": " + message;
    }
}
