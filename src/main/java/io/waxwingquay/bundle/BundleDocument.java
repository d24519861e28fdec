package io.waxwingquay.bundle;

import io.waxwingquay.settings.Range;
import io.waxwingquay.settings.SettingsException;
import io.waxwingquay.settings.TomlDocument;
import io.waxwingquay.settings.TomlTable;
import java.util.List;

/**
 * Parses a bundle from its TOML document. Parsing is strict and reports all problems together, each with its element,
 * its line if it is known, and how to correct it.
 */
public final class BundleDocument {

    private static final Range VERSION = new Range(1, Long.MAX_VALUE, "bundle version");
    private static final Range REPLICAS = new Range(1, 100_000, "replicas");
    private static final Range SIZE_BYTES = new Range(1, 1L << 50, "bytes");
    private static final Range ACCELERATORS = new Range(1, 1_024, "accelerators");
    private static final Range CONCURRENT_LOADS = new Range(1, 100_000, "loads at once");
    private static final Range LOADS_PER_SECOND = new Range(0, 100_000, "loads a second");
    private static final Range CONCURRENT_REQUESTS = new Range(1, 100_000, "requests at once");
    private static final Range PRIORITY = new Range(0, 1_000, "priority, a higher one goes first");

    private BundleDocument() {}

    /**
     * Parses a bundle.
     *
     * @param source the document's name, used in messages.
     * @param bytes the TOML document.
     * @return the bundle.
     * @throws BundleException.Invalid if the document has any problem; the exception lists all of them.
     */
    public static Bundle parse(String source, byte[] bytes) {
        try {
            return TomlDocument.read(source, bytes, BundleDocument::bundle);
        } catch (SettingsException failure) {
            throw new BundleException.Invalid(failure);
        }
    }

    private static Bundle bundle(TomlTable root) {
        long version = root.number("version", VERSION);
        Bundle.Keys keys = root.table("keys", BundleDocument::keys).orElse(new Bundle.Keys(List.of(), List.of()));
        List<Located<Bundle.Service>> services = root.tables("services", table -> located(table, service(table)));
        List<Located<Bundle.Model>> models = root.tables("models", table -> located(table, model(table)));
        List<Located<Bundle.Adapter>> adapters = root.tables("adapters", table -> located(table, adapter(table)));
        List<Located<Bundle.Operation>> operations =
                root.tables("operations", table -> located(table, operation(table)));
        BundleRules rules = new BundleRules(services, models, adapters, operations);
        rules.check();
        return new Bundle(version, keys, values(services), values(models), values(adapters), values(operations));
    }

    private static Bundle.Keys keys(TomlTable table) {
        List<Bundle.Key> trusted = table.tables("trusted", BundleDocument::key);
        List<String> revoked = table.texts("revoked");
        if (!trusted.isEmpty() && trusted.stream().allMatch(key -> revoked.contains(key.id()))) {
            table.report("revoked", "leaves no key that may sign the next bundle; trust another key first");
        }
        return new Bundle.Keys(trusted, revoked);
    }

    private static Bundle.Key key(TomlTable table) {
        Bundle.Key key = new Bundle.Key(table.text("id"), table.text("public_key"));
        try {
            String id = KeyCodec.id(KeyCodec.decodePublicKey(key.publicKey()));
            if (!id.equals(key.id())) {
                table.report("id", "is not the identifier of its public_key; write id = \"" + id + "\"");
            }
        } catch (BundleException failure) {
            table.report("public_key", failure.getMessage());
        }
        return key;
    }

    private static Bundle.Service service(TomlTable table) {
        String name = table.text("name");
        Bundle.Kind kind = table.requiredChoice("kind", Bundle.Kind.MODEL);
        int replicas = (int) table.number("replicas", REPLICAS);
        int maxConcurrent = (int) table.number("max_concurrent", CONCURRENT_REQUESTS);
        if (kind == Bundle.Kind.PLAIN) {
            return new Bundle.Service(name, kind, replicas, 0, 0, false, 0, 0, 0, maxConcurrent);
        }
        return new Bundle.Service(
                name,
                kind,
                replicas,
                table.number("memory_bytes", SIZE_BYTES),
                (int) table.number("accelerators", ACCELERATORS),
                table.flag("orders_fenced", false),
                (int) table.number("weight_loads_at_once", CONCURRENT_LOADS),
                table.decimal("weight_loads_per_second", 1, LOADS_PER_SECOND),
                (int) table.number("adapter_loads_at_once", CONCURRENT_LOADS),
                maxConcurrent);
    }

    private static Bundle.Model model(TomlTable table) {
        return new Bundle.Model(
                table.text("name"),
                table.text("service"),
                table.text("version"),
                table.number("size_bytes", SIZE_BYTES),
                (int) table.number("priority", 0, PRIORITY));
    }

    private static Bundle.Adapter adapter(TomlTable table) {
        return new Bundle.Adapter(
                table.text("name"), table.text("model"), table.text("version"), table.number("size_bytes", SIZE_BYTES));
    }

    private static Bundle.Operation operation(TomlTable table) {
        return new Bundle.Operation(table.text("service"), table.text("name"), table.flag("non_idempotent", true));
    }

    private static <T> Located<T> located(TomlTable table, T value) {
        return new Located<>(table, value);
    }

    private static <T> List<T> values(List<Located<T>> located) {
        return located.stream().map(Located::value).toList();
    }

    /** A value with the table from which it was read and in which its problems are reported. */
    record Located<T>(TomlTable table, T value) {}
}
