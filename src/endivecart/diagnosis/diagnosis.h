#ifndef ENDIVECART_DIAGNOSIS_DIAGNOSIS_H_
#define ENDIVECART_DIAGNOSIS_DIAGNOSIS_H_

// Public header of the diagnosis library: reconstructs a request's timeline
// from the logs.

#include "endivecart/diagnosis/request_timeline.h"  // IWYU pragma: export

#endif  // ENDIVECART_DIAGNOSIS_DIAGNOSIS_H_
