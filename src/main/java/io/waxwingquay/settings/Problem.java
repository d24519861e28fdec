package io.waxwingquay.settings;

import java.util.OptionalInt;

/**
 * A problem of a TOML document, described so that its author can correct it.
 *
 * @param element the invalid key or element, such as {@code thrift_port} or {@code models[3] 'quench'.size_bytes}.
 * @param line the line in the document, if it is known.
 * @param message what is wrong and how to correct it.
 */
public record Problem(String element, OptionalInt line, String message) {

    /** {@inheritDoc} */
    @Override
    public String toString() {
        String place = line.isPresent() ? "line " + line.getAsInt() + ": " : "";
        return place + element + ": " + message;
    }
}
