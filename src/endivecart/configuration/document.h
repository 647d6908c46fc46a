#ifndef ENDIVECART_CONFIGURATION_DOCUMENT_H_
#define ENDIVECART_CONFIGURATION_DOCUMENT_H_

#include <string>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/settings/settings.h"

namespace endivecart::configuration {

// Configurations are sent and stored as canonical JSON text: keys sorted, no
// whitespace. Changes are JSON merge patches (RFC 7386): a null removes a key.

// Returns the canonical form of a JSON object, which may contain comments.
Result<std::string, settings::SettingsErrors> Canonical(std::string_view text);

// Returns `document` with `patch` applied; both must be JSON objects.
Result<std::string, settings::SettingsErrors> ApplyMergePatch(
    std::string_view document,
    std::string_view patch);

// Returns the patch that turns `from` into `to`; "{}" if they are equal.
Result<std::string, settings::SettingsErrors> DiffAsMergePatch(
    std::string_view from,
    std::string_view to);

}  // namespace endivecart::configuration

#endif  // ENDIVECART_CONFIGURATION_DOCUMENT_H_
