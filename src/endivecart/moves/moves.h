#ifndef ENDIVECART_MOVES_MOVES_H_
#define ENDIVECART_MOVES_MOVES_H_

// Public header of the moves library: progressive rollout of a new version of a
// model, its evaluation, and rollback.

#include "endivecart/moves/cusum_detector.h"   // IWYU pragma: export
#include "endivecart/moves/move_controller.h"  // IWYU pragma: export
#include "endivecart/moves/move_plan.h"        // IWYU pragma: export
#include "endivecart/moves/version_gate.h"     // IWYU pragma: export
#include "endivecart/moves/version_judge.h"    // IWYU pragma: export

#endif  // ENDIVECART_MOVES_MOVES_H_
