#ifndef ENDIVECART_CONFIGURATION_CONFIGURATION_H_
#define ENDIVECART_CONFIGURATION_CONFIGURATION_H_

// Public header of the configuration library: the lists that operators edit,
// their validation, and patches between documents.

#include "endivecart/configuration/configuration_set.h"  // IWYU pragma: export
#include "endivecart/configuration/configuration_values.h"  // IWYU pragma: export
#include "endivecart/configuration/document.h"  // IWYU pragma: export

#endif  // ENDIVECART_CONFIGURATION_CONFIGURATION_H_
