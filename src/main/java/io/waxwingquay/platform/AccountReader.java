package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.account.AccessKey;
import io.waxwingquay.account.Account;
import io.waxwingquay.account.Accounts;
import io.waxwingquay.account.Quota;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Decodes the client accounts, which the platform calls tenants, of a manifest. An account that can't be read is left
 * out, so that its keys let nobody in, and is logged with the element that is wrong; the others hold.
 */
final class AccountReader {

    /** Counts each request as one. */
    private static final String UNIT_REQUEST = "request";

    /** Counts the tokens that a request states, or {@code plain_tokens} if it states none. */
    private static final String UNIT_TOKEN_STREAM = "token_stream";

    private static final System.Logger LOG = System.getLogger("waxwingquay.platform");

    private AccountReader() {}

    static Accounts read(JsonNode manifest) {
        JsonNode list = manifest.path("tenants");
        if (list.isMissingNode() || list.isNull() || list.isArray() && list.isEmpty()) {
            return Accounts.none();
        }
        List<JsonNode> nodes = JsonFields.list(manifest, "tenants");
        return Accounts.of(IntStream.range(0, nodes.size())
                .mapToObj(index -> account(nodes.get(index), "tenants[" + index + "]"))
                .flatMap(Optional::stream)
                .toList());
    }

    private static Optional<Account> account(JsonNode node, String element) {
        try {
            return Optional.of(new Account(name(node), keys(node), priority(node), quota(node)));
        } catch (IllegalArgumentException failure) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "platform: client account left out, its keys let nobody in element={0} cause={1}",
                    element,
                    failure.getMessage());
            return Optional.empty();
        }
    }

    private static String name(JsonNode node) {
        return JsonFields.text(node, "name")
                .orElseThrow(() -> new IllegalArgumentException("name is missing or not a text"));
    }

    private static Set<AccessKey> keys(JsonNode node) {
        JsonNode keys = node.path("api_keys");
        if (!keys.isMissingNode() && !keys.isArray()) {
            throw new IllegalArgumentException("api_keys is not a list");
        }
        return JsonFields.texts(node, "api_keys").stream()
                .filter(key -> !key.isEmpty())
                .map(AccessKey::of)
                .collect(Collectors.toSet());
    }

    private static OptionalInt priority(JsonNode node) {
        return JsonFields.number(node, "priority").stream()
                .mapToInt(Double::intValue)
                .findFirst();
    }

    /** Reads the limit; the platform's rate of 0, or none, means that there is no limit. */
    private static Optional<Quota> quota(JsonNode node) {
        JsonNode rate = node.path("rate_per_s");
        if (!rate.isMissingNode() && !rate.isNumber()) {
            throw new IllegalArgumentException("rate_per_s is not a number");
        }
        if (rate.asDouble() == 0) {
            return Optional.empty();
        }
        return Optional.of(new Quota(
                rate.asDouble(),
                JsonFields.doubleOr(node, "burst", 0.0),
                unit(JsonFields.text(node, "unit").orElse(UNIT_REQUEST)),
                JsonFields.longOr(node, "plain_tokens", 0L)));
    }

    private static Quota.Unit unit(String text) {
        return switch (text) {
            case UNIT_REQUEST -> Quota.Unit.REQUESTS;
            case UNIT_TOKEN_STREAM -> Quota.Unit.TOKENS;
            default -> throw new IllegalArgumentException("unit " + text + " is not known");
        };
    }
}
