package io.waxwingquay.command;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleAcceptance;
import io.waxwingquay.bundle.BundleArchive;
import io.waxwingquay.bundle.BundleDocument;
import io.waxwingquay.bundle.BundleException;
import io.waxwingquay.bundle.BundleRow;
import io.waxwingquay.bundle.KeyCodec;
import io.waxwingquay.bundle.SignedBundle;
import io.waxwingquay.bundle.TrustedKeys;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * What operators do with bundles.
 */
@Command(
        name = "bundle",
        description = "Checks, signs and submits bundles, and makes operator keys.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND")
final class BundleCommand implements Runnable {

    private static final String DEFAULT_LIMIT_MILLIS = "10000";

    private final PlatformFactory platforms;

    @Spec
    private CommandSpec spec;

    BundleCommand(PlatformFactory platforms) {
        this.platforms = platforms;
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(
            name = "check",
            description = "Checks a bundle and lists every fault with its line and its mend.",
            mixinStandardHelpOptions = true)
    int check(@Parameters(paramLabel = "FILE", description = "the bundle, in TOML") Path file) {
        return reporting(() -> {
            Bundle bundle = BundleDocument.parse(file.toString(), Files.readAllBytes(file));
            out().println("ok: version " + bundle.version() + ", "
                    + bundle.services().size() + " services, "
                    + bundle.models().size() + " models, "
                    + bundle.adapters().size() + " adapters, "
                    + bundle.operations().size() + " operations");
            return ExitCodes.OK;
        });
    }

    @Command(
            name = "keygen",
            description = {
                "Makes an Ed25519 operator key.",
                "The private key is written to FILE, which only its owner may read, and the public key to FILE.pub.",
                "Keep the private key on the operator's own machine; the system needs the public one only."
            },
            mixinStandardHelpOptions = true)
    int keygen(@Parameters(paramLabel = "FILE", description = "where the private key goes; must not exist") Path file) {
        return reporting(() -> {
            KeyPair pair = new KeyFile(file).create();
            out().println("id = \"" + KeyCodec.id(pair.getPublic()) + "\"");
            out().println("public_key = \"" + KeyCodec.encode(pair.getPublic()) + "\"");
            return ExitCodes.OK;
        });
    }

    @Command(
            name = "sign",
            description = {
                "Signs a bundle's exact bytes and writes the signature to FILE.sig.",
                "The private key must be a file that only its owner may read; any other is refused."
            },
            mixinStandardHelpOptions = true)
    int sign(
            @Option(names = "--key", required = true, description = "the private key's file, from keygen") Path key,
            @Parameters(paramLabel = "FILE", description = "the bundle, in TOML") Path file) {
        return reporting(() -> {
            SignedBundle signed = new KeyFile(key).signer().sign(Files.readAllBytes(file));
            SignatureFile.write(file, signed);
            out().println("signed: version " + signed.version() + " by key " + signed.keyId());
            return ExitCodes.OK;
        });
    }

    @Command(
            name = "submit",
            description = "Submits a signed bundle (FILE with FILE.sig) and tells whether it was accepted.",
            mixinStandardHelpOptions = true)
    int submit(
            @Option(names = "--platform", required = true, description = "the platform's URL") URI url,
            @Option(names = "--trusted-key", required = true, description = "file of a root public key; may repeat")
                    List<Path> trusted,
            @Option(
                            names = "--limit-millis",
                            defaultValue = DEFAULT_LIMIT_MILLIS,
                            description = "how long to wait, default ${DEFAULT-VALUE}")
                    long limitMillis,
            @Parameters(paramLabel = "FILE", description = "the bundle, in TOML") Path file) {
        return reporting(() -> {
            SignedBundle bundle = SignatureFile.read(file);
            TrustedKeys roots = roots(trusted);
            try (PlatformFactory.Platform platform = platforms.open(url)) {
                return submit(new BundleAcceptance(archive(platform), roots), bundle, limitMillis);
            }
        });
    }

    @Command(
            name = "status",
            description = "Tells which bundle the platform has in force.",
            mixinStandardHelpOptions = true)
    int status(
            @Option(names = "--platform", required = true, description = "the platform's URL") URI url,
            @Option(
                            names = "--limit-millis",
                            defaultValue = DEFAULT_LIMIT_MILLIS,
                            description = "how long to wait, default ${DEFAULT-VALUE}")
                    long limitMillis) {
        return reporting(() -> {
            try (PlatformFactory.Platform platform = platforms.open(url)) {
                Optional<BundleArchive.CurrentRow> current = archive(platform)
                        .current()
                        .orTimeout(limitMillis, TimeUnit.MILLISECONDS)
                        .join();
                out().println(current.map(found -> describe(found.row())).orElse("no bundle was accepted yet"));
                return ExitCodes.OK;
            }
        });
    }

    private int submit(BundleAcceptance acceptance, SignedBundle bundle, long limitMillis) {
        try {
            BundleAcceptance.Outcome outcome = acceptance
                    .submit(bundle)
                    .orTimeout(limitMillis, TimeUnit.MILLISECONDS)
                    .join();
            return tell(outcome);
        } catch (CompletionException failure) {
            // The limit may pass while a commit is on its way, so the outcome can't be called a failure.
            err().println("unknown: no outcome within " + limitMillis + " ms; ask 'bundle status'");
            return ExitCodes.UNKNOWN_OUTCOME;
        }
    }

    private int tell(BundleAcceptance.Outcome outcome) {
        return switch (outcome.verdict()) {
            case ACCEPTED -> {
                out().println("accepted: " + outcome.message());
                yield ExitCodes.OK;
            }
            case REFUSED -> told("refused: " + outcome.message(), ExitCodes.REFUSED);
            case NOT_REACHED -> told("failed: " + outcome.message(), ExitCodes.FAILED);
            case UNKNOWN -> told("unknown: " + outcome.message(), ExitCodes.UNKNOWN_OUTCOME);
        };
    }

    private int told(String message, int exitCode) {
        err().println(message);
        return exitCode;
    }

    private int reporting(Action action) {
        try {
            return action.run();
        } catch (BundleException.Invalid | BundleException.Untrusted failure) {
            return told("refused: " + failure.getMessage(), ExitCodes.REFUSED);
        } catch (BundleException failure) {
            return told("failed: " + failure.getMessage(), ExitCodes.FAILED);
        } catch (CompletionException failure) {
            String cause = failure.getCause() instanceof TimeoutException
                    ? "the platform did not answer in time"
                    : String.valueOf(failure.getCause().getMessage());
            return told("failed: " + cause, ExitCodes.FAILED);
        } catch (IOException failure) {
            return told("failed: file can't be used: " + failure, ExitCodes.FAILED);
        }
    }

    private static String describe(BundleRow row) {
        return "version " + row.version() + "\nhash " + row.hash() + "\nkey " + row.keyId();
    }

    private static BundleArchive archive(PlatformFactory.Platform platform) {
        return new BundleArchive(platform.table(), platform.objects());
    }

    private static TrustedKeys roots(List<Path> files) throws IOException {
        List<String> keys = new ArrayList<>();
        for (Path file : files) {
            keys.add(Files.readString(file).strip());
        }
        return TrustedKeys.ofRoots(keys);
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    private interface Action {
        int run() throws IOException;
    }
}
