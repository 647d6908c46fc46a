#ifndef ENDIVECART_SCHEDULING_SCHEDULING_H_
#define ENDIVECART_SCHEDULING_SCHEDULING_H_

// Public header of the scheduling library: where a request goes, and whether
// the shared parts of its prompt are fetched or prefilled. No I/O, no clock.

#include "endivecart/scheduling/capacity_estimator.h"
#include "endivecart/scheduling/fetch_choice.h"
#include "endivecart/scheduling/placement.h"
#include "endivecart/scheduling/prompt.h"

#endif  // ENDIVECART_SCHEDULING_SCHEDULING_H_
