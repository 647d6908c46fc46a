#ifndef ENDIVECART_CONFIGURATION_DOCUMENT_H_
#define ENDIVECART_CONFIGURATION_DOCUMENT_H_

#include <string>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/settings/settings.h"

namespace endivecart::configuration {

// Configurations travel and are stored as canonical JSON text: keys sorted, no
// spaces. Changes are JSON merge patches (RFC 7386): a null removes a key.

// Canonical form of a JSON object text, which may hold comments.
Result<std::string, settings::SettingsErrors> Canonical(std::string_view text);

// `document` after `patch`; both must be JSON object texts.
Result<std::string, settings::SettingsErrors> ApplyMergePatch(
    std::string_view document,
    std::string_view patch);

// The patch that turns `from` into `to`; "{}" if they are equal.
Result<std::string, settings::SettingsErrors> DiffAsMergePatch(
    std::string_view from,
    std::string_view to);

}  // namespace endivecart::configuration

#endif  // ENDIVECART_CONFIGURATION_DOCUMENT_H_
