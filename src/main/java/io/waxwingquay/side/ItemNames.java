package io.waxwingquay.side;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.transport.generated.ModelCall;
import java.util.Optional;

/**
 * Resolves the model and adapter names of a call to item names. A call may also give the item name itself, to request a
 * specific version.
 */
final class ItemNames {

    private ItemNames() {}

    static String modelItem(Optional<Bundle> bundle, ModelCall call) {
        return bundle.flatMap(found -> found.model(call.getModel()))
                .map(Bundle.Model::item)
                .orElse(call.getModel());
    }

    static boolean isInBundle(Optional<Bundle> bundle, String item) {
        return bundle.stream().flatMap(found -> found.models().stream()).anyMatch(model -> model.item()
                .equals(item));
    }

    static Optional<String> adapterItem(Optional<Bundle> bundle, ModelCall call) {
        if (!call.isSetAdapter()) {
            return Optional.empty();
        }
        String modelName = bundle.stream()
                .flatMap(found -> found.models().stream())
                .filter(model -> model.item().equals(call.getModel()))
                .map(Bundle.Model::name)
                .findFirst()
                .orElse(call.getModel());
        return Optional.of(bundle.flatMap(found -> found.adapter(modelName, call.getAdapter()))
                .map(Bundle.Adapter::item)
                .orElse(call.getAdapter()));
    }
}
