#ifndef ENDIVECART_SETTINGS_SETTINGS_H_
#define ENDIVECART_SETTINGS_SETTINGS_H_

// Public header of the settings library: parses JSON with comments into
// validated, immutable values.

#include "endivecart/settings/host_settings.h"   // IWYU pragma: export
#include "endivecart/settings/json_reader.h"     // IWYU pragma: export
#include "endivecart/settings/json_text.h"       // IWYU pragma: export
#include "endivecart/settings/node_settings.h"   // IWYU pragma: export
#include "endivecart/settings/settings_error.h"  // IWYU pragma: export

#endif  // ENDIVECART_SETTINGS_SETTINGS_H_
