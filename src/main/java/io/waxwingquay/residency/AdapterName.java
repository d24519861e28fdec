package io.waxwingquay.residency;

/**
 * The name of an adapter together with its model's.
 *
 * @param model the model.
 * @param adapter the adapter of that model.
 */
record AdapterName(String model, String adapter) {

    private static final char SEPARATOR = '/';

    /** Parses {@code model/adapter}, the form that updates and reports use. */
    static AdapterName parse(String text) {
        int slash = text.indexOf(SEPARATOR);
        return new AdapterName(text.substring(0, slash), text.substring(slash + 1));
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return model + SEPARATOR + adapter;
    }
}
