#ifndef ENDIVECART_ADMISSION_ADMISSION_H_
#define ENDIVECART_ADMISSION_ADMISSION_H_

// Public header of the admission library: rate limits, and the fair queue of
// waiting requests.

#include "endivecart/admission/fair_queue.h"    // IWYU pragma: export
#include "endivecart/admission/token_bucket.h"  // IWYU pragma: export

#endif  // ENDIVECART_ADMISSION_ADMISSION_H_
