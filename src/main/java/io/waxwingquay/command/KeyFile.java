package io.waxwingquay.command;

import io.waxwingquay.bundle.BundleException;
import io.waxwingquay.bundle.BundleSigner;
import io.waxwingquay.bundle.KeyCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.util.EnumSet;
import java.util.Set;

/**
 * An operator's private key in a file that is accessible to its owner only. The public key is in a file of the same
 * name with the suffix {@code .pub}.
 */
final class KeyFile {

    private static final Set<PosixFilePermission> OWNER_ONLY =
            EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final Path file;

    KeyFile(Path file) {
        this.file = file;
    }

    /** Generates a key pair and writes both files, neither of which may exist. */
    KeyPair create() throws IOException {
        KeyPair pair = KeyCodec.generate();
        // The file is created with its permissions, so that there is no moment at which others can open it.
        Files.createFile(file, PosixFilePermissions.asFileAttribute(OWNER_ONLY));
        Files.writeString(file, KeyCodec.encode(pair.getPrivate()) + "\n");
        Files.writeString(publicKeyFile(), KeyCodec.encode(pair.getPublic()) + "\n", StandardOpenOption.CREATE_NEW);
        return pair;
    }

    /** Returns a signer for this key; refuses a key file that is accessible to users other than its owner. */
    BundleSigner signer() throws IOException {
        Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
        if (!OWNER_ONLY.containsAll(permissions)) {
            throw new BundleException(
                    "private key " + file + " is accessible to users other than its owner ("
                            + PosixFilePermissions.toString(permissions) + "); run: chmod 600 " + file,
                    null);
        }
        return BundleSigner.of(KeyCodec.decodePrivateKey(read(file)), KeyCodec.decodePublicKey(read(publicKeyFile())));
    }

    Path publicKeyFile() {
        return file.resolveSibling(file.getFileName() + ".pub");
    }

    private static String read(Path path) throws IOException {
        return Files.readString(path, StandardCharsets.US_ASCII);
    }
}
