#ifndef ENDIVECART_LEDGER_LEDGER_H_
#define ENDIVECART_LEDGER_LEDGER_H_

// Public header of the ledger library: at-most-once claims and stored
// responses.

#include "endivecart/ledger/claim.h"         // IWYU pragma: export
#include "endivecart/ledger/ledger_state.h"  // IWYU pragma: export

#endif  // ENDIVECART_LEDGER_LEDGER_H_
