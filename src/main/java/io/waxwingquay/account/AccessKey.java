package io.waxwingquay.account;

/** A secret that identifies a client account. Its text is never part of a log line, a message or a dump. */
public final class AccessKey {

    private final String text;

    private AccessKey(String text) {
        this.text = text;
    }

    /**
     * Creates a key.
     *
     * @param text the secret.
     * @return the key.
     */
    public static AccessKey of(String text) {
        return new AccessKey(text);
    }

    /** {@inheritDoc} */
    @Override
    public boolean equals(Object other) {
        return other instanceof AccessKey key && text.equals(key.text);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return text.hashCode();
    }

    /** Returns a text without the secret. */
    @Override
    public String toString() {
        return "AccessKey[secret]";
    }
}
