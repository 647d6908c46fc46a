#ifndef ENDIVECART_MOVES_MOVES_H_
#define ENDIVECART_MOVES_MOVES_H_

// Public header of the moves library: moving a model's traffic to a new
// version, judging it, and taking it back.

#include "endivecart/moves/drift_test.h"       // IWYU pragma: export
#include "endivecart/moves/move_controller.h"  // IWYU pragma: export
#include "endivecart/moves/move_plan.h"        // IWYU pragma: export
#include "endivecart/moves/version_gate.h"     // IWYU pragma: export
#include "endivecart/moves/version_judge.h"    // IWYU pragma: export

#endif  // ENDIVECART_MOVES_MOVES_H_
